/** Recent progress of the streams of one engine, in sums that decay with time. */
export interface RecentProgress {
    /** Time that the events should have taken. */
    expectedMs: number;
    /** Time that they took. */
    actualMs: number;
    updatedAtMs: number;
}
