import * as z from "zod";

const requestKindSchema = z.strictObject({
    name: z.string().min(1),
    /** Frequency relative to the other kinds. */
    weight: z.number().positive(),
    /** Number of distinct long prefixes shared between requests, such as the histories of associations. */
    sharedPrefixes: z.int().min(1),
    /** Zipf exponent of prefix popularity; 0 makes all prefixes equally frequent. */
    popularityExponent: z.number().min(0),
    /** Median length of a shared prefix. */
    prefixTokens: z.number().min(0),
    /** Standard deviation of the logarithm of the prefix length. */
    prefixSpread: z.number().min(0),
    /** Mean number of prompt tokens not shared with other requests. */
    uniqueTokens: z.number().min(1),
    /** Mean number of generated tokens. */
    answerTokens: z.number().min(1),
});

const accountSchema = z.strictObject({
    name: z.string().min(1),
    weight: z.number().positive(),
    priority: z.enum(["high", "normal", "low"]),
    firstTokenTargetMs: z.number().positive(),
});

const zoneSchema = z.strictObject({
    region: z.string().min(1),
    availabilityZone: z.string().min(1),
    pricePerHour: z.number().min(0),
    reclaimablePricePerHour: z.number().min(0),
});

/** Schema of a scenario file: a workload, and the simulated system that serves it. */
export const scenarioSchema = z.strictObject({
    name: z.string().min(1),
    durationMs: z.number().positive(),
    warmUpMs: z.number().min(0),
    requestsPerSecond: z.number().positive(),
    /** Length of the prefix shared by all prompts, in tokens. */
    systemPromptTokens: z.number().min(0),
    kinds: z.array(requestKindSchema).min(1),
    accounts: z.array(accountSchema).min(1),
    entryHosts: z.int().min(1),
    replicas: z.int().min(1),
    /** Fraction of the replicas placed on reclaimable hosts. */
    reclaimableShare: z.number().min(0).max(1),
    zones: z.array(zoneSchema).min(1),
    crossRegionPricePerGigabyte: z.number().min(0),
    crossRegionDelayMs: z.number().min(0),
    engine: z.strictObject({
        iterationMs: z.number().positive(),
        prefillTokensPerSecond: z.number().positive(),
        concurrentSequences: z.int().min(1),
        cacheBlocks: z.int().min(1),
        /** Interval of load reports and cache events, and the delay until a load report arrives. */
        reportLagMs: z.number().positive(),
        /** Delay until cache events arrive. */
        cacheEventLagMs: z.number().min(0),
        /** Fraction of the cache events that are lost. */
        cacheEventLoss: z.number().min(0).max(1),
    }),
    /** Availability zones of which all hosts are reclaimed during the run; `atMs` is the time of the notice. */
    reclaims: z.array(z.strictObject({
        atMs: z.number().min(0),
        availabilityZone: z.string().min(1),
    })).default([]),
});
