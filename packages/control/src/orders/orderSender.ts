import type { ControlOrder } from "@ibislanding/placement";
import type { OrderOutcome } from "./orderOutcome";

/** Sends one order. */
export type OrderSender = (effect: ControlOrder) => Promise<OrderOutcome>;
