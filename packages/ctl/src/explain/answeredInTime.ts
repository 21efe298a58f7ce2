/** Cause of requests answered with a status below 500 and not known to be late; not listed for a time range. */
export const ANSWERED_IN_TIME = "Answered in time.";
