/** What several requests have in common that may crash upstreams: a part of their prompts, or all of the request. */
export type FeatureKind = "part" | "request";
