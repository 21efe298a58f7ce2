import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { CompareAndSwapRequest } from "./compareAndSwapRequest";
import type { KeyValueCallOptions } from "./keyValueCallOptions";
import type { KeyValueEntry } from "./keyValueEntry";

/**
 * Port to the platform's key-value service.
 *
 * Writes fail with `key_value_conflict` (not applied; `details.currentVersion` is set), `key_value_unavailable`
 * (not applied) or `key_value_outcome_unknown` (may have been applied, or may still be).
 */
export interface KeyValueStore {
    readonly get: (key: string, options: KeyValueCallOptions) => Promise<Result<KeyValueEntry | undefined, Failure>>;
    /** Returns the entries whose key starts with the prefix, in key order. */
    readonly list: (prefix: string, options: KeyValueCallOptions) => Promise<Result<readonly KeyValueEntry[], Failure>>;
    /** Applies a conditional write; returns the new version. */
    readonly compareAndSwap: (
        request: CompareAndSwapRequest,
        options: KeyValueCallOptions,
    ) => Promise<Result<number, Failure>>;
    /**
     * Waits until the key has a version other than the known one, or the wait time passes. Returns the entry, or
     * undefined when it does not exist.
     */
    readonly waitForChange: (
        key: string,
        knownVersion: number,
        waitMs: number,
        options: KeyValueCallOptions,
    ) => Promise<Result<KeyValueEntry | undefined, Failure>>;
    /** Grants a lease and returns its id. */
    readonly grantLease: (durationMs: number, options: KeyValueCallOptions) => Promise<Result<string, Failure>>;
    /** Extends a lease by its duration; fails with `lease_lost` when it has ended. */
    readonly keepLeaseAlive: (leaseId: string, options: KeyValueCallOptions) => Promise<Result<void, Failure>>;
    /** Ends a lease and deletes its keys. */
    readonly revokeLease: (leaseId: string, options: KeyValueCallOptions) => Promise<Result<void, Failure>>;
}
