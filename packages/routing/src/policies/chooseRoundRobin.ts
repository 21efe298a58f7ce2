import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses the candidates in turn. */
export const chooseRoundRobin: RoutingPolicy = input => {
    const { state, request, candidates } = input;
    const position = state.roundRobinPositions.get(request.service) ?? 0;
    state.roundRobinPositions.set(request.service, position + 1);
    return toChoice(input, position % candidates.length);
};
