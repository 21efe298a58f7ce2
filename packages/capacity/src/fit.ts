/** Line fitted to measured points. */
export interface Fit {
    readonly intercept: number;
    readonly slope: number;
    /** Largest vertical distance of a point from the line. */
    readonly greatestResidual: number;
}
