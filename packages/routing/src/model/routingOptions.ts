/** Tuning parameters of routing decisions. */
export interface RoutingOptions {
    /** Number of tokens in one prompt block. */
    readonly blockTokens: number;
    /** Maximum number of blocks tracked in the prefix index of one upstream. */
    readonly maximumBlocksPerUpstream: number;
    /** Lifetime of a block whose presence is inferred only from this host's own requests. */
    readonly guessedBlockLifetimeMs: number;
    /** Number of leading prompt blocks that form the key of rendezvous hashing. */
    readonly affinityBlocks: number;
    /** An upstream whose latest report is older than this is used only when no other upstream is eligible. */
    readonly reportExpiryMs: number;
    /** Fraction of the sequence slots reserved for streams that move off leaving upstreams. */
    readonly drainHeadroomShare: number;
    /** Time constant for averaging this host's request rates; the other entry hosts are assumed to have the same. */
    readonly rateWindowMs: number;
    /** Exponent applied to the host price in the cost of machine time; 0 ignores price differences. */
    readonly priceExponent: number;
    /** Weight of the predicted latency, relative to its target, in the score of the cost-aware policy. */
    readonly latencyWeight: number;
    /** Relative difference up to which scores are considered equal. */
    readonly scoreTolerance: number;
    /** Relative difference of costs up to which upstreams share uncached prompts by rendezvous hashing. */
    readonly uncachedCostTolerance: number;
    /** Maximum load, relative to the mean, at which an upstream receives the prompts that hash to it. */
    readonly loadBoundFactor: number;
    /** Minimum fraction of a prompt that an upstream must have cached for the prompt to count as warm. */
    readonly warmCacheShare: number;
    /**
     * A high-priority request is refused if its predicted latency exceeds that on an idle upstream by more than this
     * multiple of the latency target.
     */
    readonly highPriorityOverrunFactor: number;
    /** Fraction of the latency target up to which each priority is admitted; the rest allows for prediction errors. */
    readonly targetShares: Readonly<Record<"high" | "normal" | "low", number>>;
    /** Multipliers of the predicted wait for a sequence slot, because engines schedule higher priorities first. */
    readonly slotWaitFactors: Readonly<Record<"high" | "normal" | "low", number>>;
    readonly sameRegionDelayMs: number;
    readonly crossRegionDelayMs: number;
    /** Time that an engine adds to each request besides queueing and prefill. */
    readonly engineOverheadMs: number;
    /** Assumed time that a sequence occupies a slot until this host has measured its own requests. */
    readonly initialSequenceMs: number;
    /** Bounds of the jittered retry delay returned with a refusal. */
    readonly minimumRetryAfterMs: number;
    readonly maximumRetryAfterMs: number;
    /** Number of consecutive failures after which an upstream is ejected. */
    readonly ejectionFailureThreshold: number;
    /** Duration of the first ejection; doubles with each consecutive one. */
    readonly initialEjectionMs: number;
    readonly maximumEjectionMs: number;
    /** Maximum fraction of a service's upstreams that may be ejected at the same time. */
    readonly maximumEjectedShare: number;
}
