import type { AccountId, Clock } from "@ibislanding/core";

/** Dependencies of an admission queue. */
export interface AdmissionQueueOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    /** Units per second that all hosts serve of an account. */
    readonly servedUnitsPerS: (accountId: AccountId | "") => number;
}
