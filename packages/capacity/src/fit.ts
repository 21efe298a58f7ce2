/** A line through measured points. */
export interface Fit {
    readonly intercept: number;
    readonly slope: number;
    /** Greatest distance of a point from the line. */
    readonly greatestResidual: number;
}
