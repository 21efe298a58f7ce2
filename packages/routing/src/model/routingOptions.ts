/** Constants of the routing decisions. */
export interface RoutingOptions {
    /** Tokens of one prompt block. */
    readonly blockTokens: number;
    /** Blocks remembered for each upstream. */
    readonly maximumBlocksPerUpstream: number;
    /** Time after which a prefix that only own routing suggests is forgotten. */
    readonly guessedBlockLifetimeMs: number;
    /** First blocks of a prompt by which prompts are spread over upstreams. */
    readonly affinityBlocks: number;
    /** An upstream without a report for this long is used only when no other is left. */
    readonly reportExpiryMs: number;
    /** Part of the sequence slots kept for streams that move from leaving upstreams. */
    readonly drainHeadroomShare: number;
    /** Time over which the rates of own requests are averaged, from which those of other entry hosts are estimated. */
    readonly rateWindowMs: number;
    /** Exponent of the host price in the cost of machine time; 0 makes all hosts equally dear. */
    readonly priceExponent: number;
    /** Weight of predicted latency, relative to its target, in the score of the cost-aware policy. */
    readonly latencyWeight: number;
    /** Relative difference of scores that counts as equal. */
    readonly scoreTolerance: number;
    /** Relative difference of costs up to which prompts that no upstream holds are spread by their hash. */
    readonly uncachedCostTolerance: number;
    /** Load relative to the mean up to which an upstream takes the prompts that hash to it. */
    readonly loadBoundFactor: number;
    /** Part of a prompt that an upstream must hold for the prompt to count as cached. */
    readonly warmCacheShare: number;
    /** Multiple of the latency target beyond which high-priority requests are refused too. */
    readonly highPriorityOverrunFactor: number;
    /** Part of the latency target up to which each priority is admitted; the rest is for what the prediction misses. */
    readonly targetShares: Readonly<Record<"high" | "normal" | "low", number>>;
    /** Factors on the wait for a sequence slot, as engines let requests of higher priority pass. */
    readonly slotWaitFactors: Readonly<Record<"high" | "normal" | "low", number>>;
    readonly sameRegionDelayMs: number;
    readonly crossRegionDelayMs: number;
    /** Time of an engine for a request besides queueing and prefill. */
    readonly engineOverheadMs: number;
    /** Time of one sequence in a slot, until own requests have been measured. */
    readonly initialSequenceMs: number;
    /** Bounds of the jittered time that refused callers are told to wait. */
    readonly minimumRetryAfterMs: number;
    readonly maximumRetryAfterMs: number;
    /** Failures in a row that eject an upstream. */
    readonly ejectionFailureThreshold: number;
    /** Length of the first ejection; doubles with each further one. */
    readonly initialEjectionMs: number;
    readonly maximumEjectionMs: number;
    /** Greatest part of a service's upstreams that may be ejected at once. */
    readonly maximumEjectedShare: number;
}
