/** Cause given for successful requests, which the overview of a time range leaves out. */
export const ANSWERED_IN_TIME = "Answered in time.";
