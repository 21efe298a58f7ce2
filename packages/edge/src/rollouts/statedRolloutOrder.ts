import type { RolloutOrder } from "@ibislanding/rollouts";

/** An order as its entry in the store states it. */
export type StatedRolloutOrder = Omit<RolloutOrder, "orderId">;
