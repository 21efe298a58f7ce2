/** Weight of a new value; the last five or so count. */
const WEIGHT = 0.2;

/** Returns the smoothed value after a new one. */
export const smooth = (previous: number | undefined, value: number): number =>
    previous === undefined ? value : previous + (value - previous) * WEIGHT;
