import type { DestinationExplanation } from "./destinationExplanation";

/** Where a host would send a request now, and why. */
export interface RouteExplanation {
    readonly configurationVersion: number;
    readonly route: string;
    readonly pathPrefix: string;
    readonly objectiveMs: number;
    readonly remainingMs: number;
    readonly priority: number;
    /** Undefined for an anonymous request. */
    readonly accountId: string | undefined;
    /** Whether the host draws among upstreams of similar cost; the decisions name the one of lowest cost. */
    readonly isDrawn: boolean;
    /** Quarantined parts of the prompt: the request is refused, unless it is the trial of one. */
    readonly quarantinedParts: readonly string[];
    /** One for each destination of the route; a request goes to one of them, drawn by weight. */
    readonly destinations: readonly DestinationExplanation[];
}
