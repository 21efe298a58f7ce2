import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** An upstream with what its choice depends on. */
export interface PlacementCandidate {
    readonly record: UpstreamRecord;
    readonly isEngine: boolean;
    /** Requests in flight from all hosts. */
    readonly running: number;
    /** Time to process the prompts that wait there. */
    readonly backlogMs: number;
    /** Time to process the part of this prompt that is not cached there. */
    readonly promptMs: number;
    /** Small cost that makes hosts agree on an engine for a prefix. */
    readonly affinityPenaltyMs: number;
    /** Time by which it is behind what this host knows of its work. */
    readonly unexplainedDelayMs: number;
    /** Time to the first event that does not depend on the prompt. */
    readonly overheadMs: number;
    readonly roundTripMs: number;
    readonly isEjected: boolean;
    readonly isMissing: boolean;
    /** Whether this host may open no further connection to it. */
    readonly isAtConnectionLimit: boolean;
}
