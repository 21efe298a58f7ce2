/** A report that the platform took. */
export interface UsageReport {
    readonly window: number;
    readonly holder: string;
    readonly fencingNumber: number;
    /** Counts in a canonical form. */
    readonly counts: string;
}
