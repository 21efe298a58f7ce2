import type { KeyValueCause } from "./keyValueCause";

/** Options common to all calls to the key-value service. */
export interface KeyValueCallOptions {
    readonly cause: KeyValueCause;
    /** Time after which the call fails. */
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
}
