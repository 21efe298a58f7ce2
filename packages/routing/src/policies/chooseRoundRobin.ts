import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Cycles through the candidates, with one position for each service. */
export const chooseRoundRobin: RoutingPolicy = input => {
    const { state, request, candidates } = input;
    const position = state.roundRobinPositions.get(request.service) ?? 0;
    state.roundRobinPositions.set(request.service, position + 1);
    return toChoice(input, position % candidates.length);
};
