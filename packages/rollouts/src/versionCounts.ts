/** Cumulative counts of a set of versions, at each snapshot of a series, for one kind of bad answer. */
export interface VersionCounts {
    readonly sent: readonly number[];
    readonly answers: readonly number[];
    readonly bad: readonly number[];
}
