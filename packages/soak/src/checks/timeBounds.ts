/** Bounds for the time-dependent checks; omitted on busy machines, where timing is unreliable. */
export interface TimeBounds {
    /** Maximum time from the acceptance of a configuration until connected hosts apply it. */
    readonly inForceMs: number;
    /** Maximum time for which an upstream still gets requests after the store accepted its draining state. */
    readonly leavingMs: number;
    /** Time without disturbance after which a host counts as connected. */
    readonly contactMs: number;
}
