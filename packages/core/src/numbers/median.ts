/** Returns the lower median; `undefined` for an empty list. */
export const median = (values: readonly number[]): number | undefined =>
    [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) / 2)];
