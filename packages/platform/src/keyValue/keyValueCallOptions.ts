import type { KeyValueCause } from "./keyValueCause";

/** Options common to all calls to the key-value service. */
export interface KeyValueCallOptions {
    readonly cause: KeyValueCause;
    /** Time after which the call fails. */
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
    /** Whether a read may return a state that is seconds old; such a read is cheaper. */
    readonly allowStale?: boolean;
}
