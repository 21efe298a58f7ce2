import type { ControlOrder } from "@ibislanding/placement";
import type { OrderOutcome } from "./orderOutcome";

/** Sends one order to an engine, the cloud API or the peer group, and returns its outcome. */
export type OrderSender = (order: ControlOrder) => Promise<OrderOutcome>;
