import type { Brand } from "@ibislanding/core";

/** Id of an order: epoch and revision of the entry that states it, from `createRolloutOrderId`. */
export type RolloutOrderId = Brand<string, "RolloutOrderId">;
