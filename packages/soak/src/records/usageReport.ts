/** A usage report that the platform accepted. */
export interface UsageReport {
    readonly window: number;
    readonly holder: string;
    readonly fencingNumber: number;
    /** Counts in a canonical form. */
    readonly counts: string;
}
