/** Bounds of what a bad version may cost. */
export interface RolloutBounds {
    /** Largest share, in [0, 1], of the requests between order and deadline that a bad version may receive. */
    readonly exposeShare: number;
    /** Requests that a bad version may receive in addition to the share. */
    readonly exposeSlack: number;
    /** Time after the 50th bad answer of a bad version from which no request is sent to it. */
    readonly rollbackMs: number;
}
