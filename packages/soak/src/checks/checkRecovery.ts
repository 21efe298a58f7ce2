import type { SoakRecords } from "../records/soakRecords";
import type { Violation } from "./violation";

/** Time after the last fault in which service is back. */
const RECOVERY_MS = 12_000;

/** Part of the requests that must be served then. */
const MINIMUM_SERVED_SHARE = 0.9;

/** Checks that requests are served again some time after the last fault. */
export const checkRecovery = ({ attempts, calmSinceMs }: SoakRecords): readonly Violation[] => {
    const late = attempts.filter(({ sentAtMs, hasLeft }) => sentAtMs > calmSinceMs + RECOVERY_MS && !hasLeft);
    const served = late.filter(({ status, isComplete }) => status === 200 && isComplete);
    return served.length >= late.length * MINIMUM_SERVED_SHARE && late.length > 0
        ? []
        : [{
            check: "recovery",
            subject: "calm",
            detail: `${served.length} of ${late.length} requests were served after the last fault`,
        }];
};
