import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** An upstream with the inputs of the placement decision. */
export interface PlacementCandidate {
    readonly record: UpstreamRecord;
    readonly isEngine: boolean;
    /** Requests in flight from all hosts. */
    readonly running: number;
    /** Factor by which recent gaps of streams lengthen `backlogMs` and `promptMs`, which contain it; undefined for none. */
    readonly delayFactor?: number | undefined;
    /** Time to process the prompts that are queued at the upstream. */
    readonly backlogMs: number;
    /** Time to process the uncached part of this prompt; for a plain upstream, its typical response time. */
    readonly promptMs: number;
    /** Small penalty that makes all hosts prefer the same engine for a prefix. */
    readonly affinityPenaltyMs: number;
    /** Delay of the upstream that the load known to this host does not explain. */
    readonly unexplainedDelayMs: number;
    /** Part of the time to the first event that is independent of the prompt. */
    readonly overheadMs: number;
    readonly roundTripMs: number;
    readonly isEjected: boolean;
    /**
     * Remaining time for which this host must not send to the upstream, because the upstream asked for a pause or stated
     * a limit; 0 if it may.
     */
    readonly pausedMs: number;
    readonly isMissing: boolean;
    /** Whether neither the registry nor the upstream itself has shown lately that it is not leaving. */
    readonly isUnconfirmed?: boolean | undefined;
    /** Whether this host has reached its connection limit for the upstream. */
    readonly isAtConnectionLimit: boolean;
    /** Time for which this host has always had an established connection to the upstream; 0 if it has none. */
    readonly connectedForMs: number;
}
