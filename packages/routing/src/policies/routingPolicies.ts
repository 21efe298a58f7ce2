import type { RoutingPolicyName } from "@ibislanding/resources";
import { chooseCostAware } from "./chooseCostAware";
import { chooseLeastLoaded } from "./chooseLeastLoaded";
import { choosePrefixAffinity } from "./choosePrefixAffinity";
import { chooseRandom } from "./chooseRandom";
import { chooseRoundRobin } from "./chooseRoundRobin";
import type { RoutingPolicy } from "./routingPolicy";

/** Routing policies by the name that services declare. */
export const routingPolicies: Readonly<Record<RoutingPolicyName, RoutingPolicy>> = {
    "cost-aware": chooseCostAware,
    random: chooseRandom,
    "round-robin": chooseRoundRobin,
    "least-loaded": chooseLeastLoaded,
    "prefix-affinity": choosePrefixAffinity,
};
