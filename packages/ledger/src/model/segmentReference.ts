/** Reference to an immutable segment of ended records. */
export interface SegmentReference {
    readonly key: string;
    readonly recordCount: number;
    readonly sizeBytes: number;
    /** Time at which the newest record of the segment ended. */
    readonly newestEndedAtMs: number;
}
