/** Name of a routing policy. */
export type RoutingPolicyName = "cost-aware" | "random" | "round-robin" | "least-loaded" | "prefix-affinity";
