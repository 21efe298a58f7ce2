/** Lifecycle phase of an upstream as reported by the platform. */
export type UpstreamPhase = "starting" | "live" | "leaving" | "gone";
