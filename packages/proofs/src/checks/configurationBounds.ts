/** Bounds for the propagation of an accepted configuration. */
export interface ConfigurationBounds {
    /** Maximum time from acceptance until every observed process uses the revision; undefined skips the check. */
    readonly inForceMs: number | undefined;
}
