import type { RandomSource } from "@ibislanding/core";
import type { Candidate } from "../queries/candidate";
import type { SelectionRequest } from "../queries/selectionRequest";
import type { RoutingState } from "../state/routingState";

/** Input of a routing policy: the request and the upstreams that can run it. */
export interface PolicyInput {
    readonly state: RoutingState;
    readonly request: SelectionRequest;
    /** Never empty. */
    readonly candidates: readonly Candidate[];
    readonly random: RandomSource;
}
