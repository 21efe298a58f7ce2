import type { ControlEffect } from "@ibislanding/placement";
import type { OrderOutcome } from "./orderOutcome";

/** Sends one order. */
export type OrderSender = (effect: ControlEffect) => Promise<OrderOutcome>;
