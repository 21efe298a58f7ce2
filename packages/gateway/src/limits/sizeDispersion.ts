/** Dispersion of the sizes of requests, which determines how much the units of a second vary by chance. */
export interface SizeDispersion {
    readonly add: (units: number) => void;
    /** Mean square of the sizes divided by their mean. */
    readonly units: () => number;
}
