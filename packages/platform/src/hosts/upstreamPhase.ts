/** Phase of an upstream as the platform shows it. */
export type UpstreamPhase = "starting" | "live" | "leaving" | "gone";
