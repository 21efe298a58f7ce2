import type { Exposure } from "./exposure";
import type { RolloutBounds } from "./rolloutBounds";

/**
 * Share of the requests that the target may receive for a duration until its exposure budget is used up, in [0, 1]. The
 * budget grows by `exposeShare` of the requests in that time.
 */
export const sustainableShare = (
    { left, ratePerMs }: Exposure,
    { exposeShare }: RolloutBounds,
    durationMs: number,
): number => {
    const requests = ratePerMs * durationMs;
    if (requests === 0) {
        return left > 0 ? 1 : 0;
    }
    return Math.min(1, Math.max(0, exposeShare + left / requests));
};
