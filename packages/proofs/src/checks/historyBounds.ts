/** Time bounds of the checks; an undefined bound skips its check. */
export interface HistoryBounds {
    readonly inForceMs: number | undefined;
    readonly leavingMs: number | undefined;
}
