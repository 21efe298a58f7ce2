/** What runs on an upstream host: a model engine or a companion service. */
export type UpstreamKind = "engine" | "service";
