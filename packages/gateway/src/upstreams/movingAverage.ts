/** Weight of a new value: an effective window of about five values. */
const NEW_VALUE_WEIGHT = 0.2;

/** Returns the exponential moving average after a new value; the first value is returned unchanged. */
export const movingAverage = (previous: number | undefined, value: number): number =>
    previous === undefined ? value : previous + (value - previous) * NEW_VALUE_WEIGHT;
