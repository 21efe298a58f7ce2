/** One validation error of a manifest or a settings file. */
export interface ValidationIssue {
    /** Resource with the error, as `Kind/name`; empty if the error concerns the whole file. */
    readonly resource: string;
    /** Dotted path of the field. */
    readonly field: string;
    /** JSON text of the invalid value, truncated: `missing` without a value, empty outside the resource tables of a file. */
    readonly value: string;
    readonly reason: string;
}
