/** Fraction of the time within which a change must be in force, from which age of a set on the store is asked. */
const REFRESH_SHARE = 0.45;

/** Whether a set of documents is so old that a change since then could soon be overdue. */
export const isRefreshDue = (ageMs: number, inForceMs: number): boolean => ageMs >= inForceMs * REFRESH_SHARE;
