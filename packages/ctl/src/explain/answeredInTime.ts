/** Cause of a request that needs no explanation. */
export const ANSWERED_IN_TIME = "Answered in time.";
