/** Whether a process listens at an address; `unknown` if there was no response in time. */
export type ProbeResult = "listening" | "refused" | "unknown";
