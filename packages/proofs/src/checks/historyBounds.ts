/** Time bounds of the checks; undefined leaves a bound unchecked. */
export interface HistoryBounds {
    readonly inForceMs: number | undefined;
    readonly leavingMs: number | undefined;
}
