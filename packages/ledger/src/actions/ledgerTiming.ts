import type { BackoffPolicy } from "@ibislanding/core";

/** Timeouts and delays of a ledger. */
export interface LedgerTiming {
    /** Timeout of a call to the key-value service. */
    readonly storeTimeoutMs: number;
    /** Time for which a commit waits for further operations to join its group. */
    readonly groupDelayMs: number;
    /** Time after which an attempt without a confirmed claim is abandoned. */
    readonly claimTimeoutMs: number;
    /** Maximum time for which the response to the caller waits for the end of the action to be recorded. */
    readonly recordTimeoutMs: number;
    /** Time for which no operations are forwarded to a preferred writer after a failure. */
    readonly failedWriterCooldownMs: number;
    /** `Retry-After` of refused requests. */
    readonly retryAfterMs: number;
    /** Maximum time for which disposal waits for running actions, and again for ends that are not recorded yet. */
    readonly stopTimeoutMs: number;
    /** Delays before failed commits and failed recordings are retried. */
    readonly backoff: BackoffPolicy;
    /** Consecutive failed commits after which pending claims, takeovers and reads fail. */
    readonly failFastAttempts: number;
}
