import type { ControlOrder } from "@ibislanding/placement";
import type { OrderOutcome } from "./orderOutcome";

/** Sends one order to an engine or the cloud API, or announces it to the peer group, and returns its outcome. */
export type OrderSender = (order: ControlOrder) => Promise<OrderOutcome>;
