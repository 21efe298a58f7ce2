import type { PolicyChoice } from "./policyChoice";
import type { PolicyInput } from "./policyInput";

/** A way to choose among the upstreams that can run a request. */
export type RoutingPolicy = (input: PolicyInput) => PolicyChoice;
