import { chooseLeastLoaded } from "./chooseLeastLoaded";
import { rendezvousOrder } from "./rendezvousOrder";
import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses by rendezvous hashing of the prompt's first blocks alone; prompts without a whole block by load. */
export const choosePrefixAffinity: RoutingPolicy = input => {
    const [first] = rendezvousOrder(input.state, input.candidates, input.request.blockHashes) ?? [];
    return first === undefined ? chooseLeastLoaded(input) : toChoice(input, input.candidates.indexOf(first));
};
