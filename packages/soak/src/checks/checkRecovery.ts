import type { SoakRecords } from "../records/soakRecords";
import type { Violation } from "./violation";

/** Time after the last fault by which requests must be served again. */
const RECOVERY_MS = 12_000;

/** Share of the requests sent after the recovery time that must be served. */
const MINIMUM_SERVED_SHARE = 0.9;

/** Checks that enough requests are served once the recovery time after the last fault has passed. */
export const checkRecovery = ({ attempts, calmSinceMs }: SoakRecords): readonly Violation[] => {
    const late = attempts.filter(({ sentAtMs, hasLeft, crashCause }) =>
        sentAtMs > calmSinceMs + RECOVERY_MS && !hasLeft && crashCause === undefined
    );
    const served = late.filter(({ status, isComplete }) => status === 200 && isComplete);
    return served.length >= late.length * MINIMUM_SERVED_SHARE && late.length > 0
        ? []
        : [{
            check: "recovery",
            subject: "calm",
            detail: `${served.length} of ${late.length} requests were served after the last fault`,
        }];
};
