import type { RolloutOrderId } from "./rolloutOrderId";

const partsOf = (orderId: RolloutOrderId): readonly number[] => orderId.split(".").map(Number);

/** Orders the ids of orders by epoch, then by revision, for `Array.prototype.sort`. */
export const compareOrderIds = (left: RolloutOrderId, right: RolloutOrderId): number => {
    const [leftEpoch = 0, leftRevision = 0] = partsOf(left);
    const [rightEpoch = 0, rightRevision = 0] = partsOf(right);
    return leftEpoch - rightEpoch || leftRevision - rightRevision;
};
