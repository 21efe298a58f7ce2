/**
 * Fault mode of the store; `late-writes` drops the connection and commits the write afterwards, and `falls-silent` also loses the
 * calls that wait.
 */
export type StoreFault = "none" | "refuses" | "hangs" | "falls-silent" | "slow" | "loses-answers" | "late-writes";
