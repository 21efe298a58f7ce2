import type { BackoffPolicy } from "@ibislanding/core";

/** Time bounds of a ledger. */
export interface LedgerTiming {
    /** Time after which a call to the key-value service fails. */
    readonly storeTimeoutMs: number;
    /** Time for which a commit waits for further operations. */
    readonly groupDelayMs: number;
    /** Time after which an attempt without a confirmed claim is given up. */
    readonly claimTimeoutMs: number;
    /** Time for which an answer is held back until it is recorded. */
    readonly recordTimeoutMs: number;
    /** Time for which a preferred writer that failed gets no operations. */
    readonly failedWriterCooldownMs: number;
    /** `Retry-After` of refusals. */
    readonly retryAfterMs: number;
    /** Time for which disposal waits for unrecorded ends. */
    readonly stopTimeoutMs: number;
    /** Delays between failed commits. */
    readonly backoff: BackoffPolicy;
    readonly failFastAttempts: number;
}
