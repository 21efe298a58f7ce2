/** Routing policies that a service can select with `routingPolicy`. */
export type RoutingPolicyName = "cost-aware" | "random" | "round-robin" | "least-loaded" | "prefix-affinity";
