import type { ForwardContext } from "./forwardContext";
import { toOfferedRequest } from "./toOfferedRequest";

/** Counts a request as served demand when its first event arrives, after the given wait at the upstream. */
export const recordServed = (context: ForwardContext, waitMs: number): void => {
    const { options, admitted, isServedRecorded } = context;
    if (!isServedRecorded) {
        context.isServedRecorded = true;
        options.admission?.recordFirstEvent(
            toOfferedRequest(admitted),
            Math.max(0, waitMs) / admitted.route.objectiveMs,
        );
    }
};
