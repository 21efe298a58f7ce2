/** Fraction of the time within which a change must be in force, from which age of a set on the store is asked. */
const REFRESH_SHARE = 0.6;

/** Returns the time until a set of documents is so old that a change since then could soon be overdue; 0 or less if it is. */
export const refreshDueInMs = (ageMs: number, inForceMs: number): number => inForceMs * REFRESH_SHARE - ageMs;
