/** How the store misbehaves. */
export type StoreFault = "none" | "refuses" | "hangs" | "slow" | "loses-answers" | "late-writes";
