/** Bounds for the spread of an accepted configuration. */
export interface ConfigurationBounds {
    /** Time after acceptance by which every observed process has the revision; undefined checks no time. */
    readonly inForceMs: number | undefined;
}
