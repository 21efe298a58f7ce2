import type { RoutingPolicy } from "./routingPolicy";
import { toChoice } from "./toChoice";

/** Chooses the candidate with the lowest ratio of estimated sequences to slots; ties are broken at random. */
export const chooseLeastLoaded: RoutingPolicy = input => {
    const loads = input.candidates.map(({ sequences, upstream }) =>
        sequences / (upstream.report?.concurrentSequences ?? 1)
    );
    const least = Math.min(...loads);
    const leastLoaded = loads.flatMap((load, index) => (load === least ? [index] : []));
    return toChoice(input, leastLoaded[input.random.nextInt(leastLoaded.length)] ?? 0);
};
