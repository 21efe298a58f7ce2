/**
 * Time for which an upstream that is missing from the registry is kept. Upstreams whose entries expired during an
 * outage of the registry are listed again within two seconds of its recovery.
 */
const MISSING_RETENTION_MS = 1_800;

/** Least fraction of the time within which a departure must be known that a missing upstream is kept. */
const MINIMUM_RETENTION_SHARE = 0.2;

/**
 * Returns how long an upstream is kept that has disappeared from the registry without a notice. `listAgeMs` is how old the list
 * was that still had it: it may have left that long ago. A list that is older than `inForceMs` is that of a registry that was away.
 */
export const missingRetentionMs = (listAgeMs: number, inForceMs: number): number =>
    listAgeMs > inForceMs
        ? MISSING_RETENTION_MS
        : Math.min(
            MISSING_RETENTION_MS,
            Math.max(inForceMs * MINIMUM_RETENTION_SHARE, MISSING_RETENTION_MS - listAgeMs),
        );
