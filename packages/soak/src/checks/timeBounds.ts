/** Bounds of promises that depend on time; a run on a busy machine leaves them out. */
export interface TimeBounds {
    /** Time after its acceptance in which a configuration is in force at hosts that are in touch. */
    readonly inForceMs: number;
    /** Time after its acceptance in which a leaving upstream still gets requests. */
    readonly leavingMs: number;
    /** Time without disturbance after which a host is in touch. */
    readonly contactMs: number;
}
