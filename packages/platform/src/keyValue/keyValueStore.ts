import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { CompareAndSwapRequest } from "./compareAndSwapRequest";
import type { KeyValueCallOptions } from "./keyValueCallOptions";
import type { KeyValueEntry } from "./keyValueEntry";

/**
 * Port to the platform's key-value service.
 *
 * Writes fail with `key_value_conflict`, `key_value_too_large`, `lease_lost` or `key_value_unavailable` (not applied),
 * or with `key_value_outcome_unknown` (may already be applied, or may be applied later). `details.currentVersion` of a
 * conflict is set unless the service did not state it.
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
     * Waits until the version of the key differs from the known one, or until the wait time has passed. Returns the
     * entry, or `undefined` when the key does not exist.
     */
    readonly waitForChange: (
        key: string,
        knownVersion: number,
        waitMs: number,
        options: KeyValueCallOptions,
    ) => Promise<Result<KeyValueEntry | undefined, Failure>>;
    /** Grants a lease and returns its id. */
    readonly grantLease: (durationMs: number, options: KeyValueCallOptions) => Promise<Result<string, Failure>>;
    /** Renews a lease for its full duration; fails with `lease_lost` when it has ended. */
    readonly keepLeaseAlive: (leaseId: string, options: KeyValueCallOptions) => Promise<Result<void, Failure>>;
    /** Ends a lease and deletes the keys that are bound to it. */
    readonly revokeLease: (leaseId: string, options: KeyValueCallOptions) => Promise<Result<void, Failure>>;
}
