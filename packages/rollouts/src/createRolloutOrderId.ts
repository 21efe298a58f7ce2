import type { RolloutOrderId } from "./rolloutOrderId";

/** Creates the id of the order that an entry states; `epoch` and `revision` are those of the entry's last change. */
export const createRolloutOrderId = (epoch: number, revision: number): RolloutOrderId =>
    `${epoch}.${revision}` as RolloutOrderId;
