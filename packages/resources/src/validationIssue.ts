/** One fault of a manifest or a settings file. */
export interface ValidationIssue {
    /** Resource the fault is in, as `Kind/name`; empty for a file as a whole. */
    readonly resource: string;
    /** Dotted path of the field. */
    readonly field: string;
    /** JSON text of the offending value, cut to a short length. */
    readonly value: string;
    readonly reason: string;
}
