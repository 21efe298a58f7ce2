import { chooseLeastLoaded } from "./chooseLeastLoaded";
import { orderByRendezvousHash } from "./orderByRendezvousHash";
import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses by rendezvous hashing of the leading prompt blocks; prompts without a complete block are routed by load. */
export const choosePrefixAffinity: RoutingPolicy = input => {
    const [first] = orderByRendezvousHash(input.state, input.candidates, input.request.blockHashes) ?? [];
    return first === undefined ? chooseLeastLoaded(input) : toChoice(input, input.candidates.indexOf(first));
};
