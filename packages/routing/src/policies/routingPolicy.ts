import type { PolicyChoice } from "./policyChoice";
import type { PolicyInput } from "./policyInput";

/** Selects one of the upstreams that can run a request, or refuses the request. */
export type RoutingPolicy = (input: PolicyInput) => PolicyChoice;
