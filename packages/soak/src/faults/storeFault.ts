/** Fault mode of the store; `late-writes` drops the connection and commits the write afterwards. */
export type StoreFault = "none" | "refuses" | "hangs" | "slow" | "loses-answers" | "late-writes";
