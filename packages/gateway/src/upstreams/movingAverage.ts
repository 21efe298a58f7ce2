/** Weight of a new value; the last five or so count. */
const NEW_VALUE_WEIGHT = 0.2;

/** Returns the smoothed value after a new one. */
export const movingAverage = (previous: number | undefined, value: number): number =>
    previous === undefined ? value : previous + (value - previous) * NEW_VALUE_WEIGHT;
