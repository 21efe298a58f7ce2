import type { CandidateExplanation } from "./candidateExplanation";

/** Decision on a request that goes to one of the services of its route. */
export interface DestinationExplanation {
    readonly service: string;
    readonly weight: number;
    /** Whether this host reaches no upstream of the service, and relays requests to a peer instead. */
    readonly isCutOff: boolean;
    /** Rule of the rollout for the next new request. */
    readonly versionRule: {
        readonly kind: "any" | "only" | "except";
        /** Versions that the request may reach, or may not. */
        readonly versions: readonly string[];
        /** Upstreams to which a share of the requests is limited; undefined for all of the version. */
        readonly upstreamIds: readonly string[] | undefined;
    };
    readonly decision:
        | {
            readonly kind: "send";
            readonly upstreamId: string;
            readonly predictedMs: number;
            /** Whether the target of the rollout has no place, so that another version is used. */
            readonly isFallback: boolean;
        }
        | { readonly kind: "refuse"; readonly reason: string; readonly retryAfterMs: number; }
        /** Brittle upstreams: the state of their slots changes when it is asked for. */
        | { readonly kind: "unknown"; readonly reason: "brittle-upstreams"; };
    readonly candidates: readonly CandidateExplanation[];
}
