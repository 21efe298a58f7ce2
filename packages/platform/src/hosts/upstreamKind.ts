/** What runs on an upstream host. */
export type UpstreamKind = "engine" | "service";
