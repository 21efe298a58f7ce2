/** Returns the lower median; undefined for no values. */
export const median = (values: readonly number[]): number | undefined =>
    [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) / 2)];
