/** Age after which reports of all hosts and changes of states have reached all hosts, in milliseconds. */
export const reportAgeMs = 2_000;
