import * as z from "zod";

const MAXIMUM_RATE = 1_000_000;
const DEFAULT_FIRST_TOKEN_TARGET_MS = 790;
const DEFAULT_BETWEEN_TOKENS_TARGET_MS = 33;

/** A caller's account: keys, rights, limits, priority and latency target. */
export const clientAccountSpecSchema = z.strictObject({
    /** SHA-256 hashes of the account's bearer keys, in hexadecimal. */
    keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be 64 lower-case hexadecimal digits")).min(1),
    /** Models the account may use; `*` allows all. */
    models: z.array(z.string().min(1)).default([]),
    /** Plain services the account may call; `*` allows all. */
    services: z.array(z.string().min(1)).default([]),
    requestsPerSecond: z.number().positive().max(MAXIMUM_RATE),
    /** Requests that may come at once above the rate. */
    burstRequests: z.number().min(1).max(MAXIMUM_RATE).default(10),
    /** Requests that may run at the same time. */
    maximumConcurrent: z.int().min(1).max(MAXIMUM_RATE).default(1_000),
    /** Traffic of a higher priority is served first under overload. */
    priority: z.enum(["high", "normal", "low"]).default("normal"),
    firstTokenTargetMs: z.number().positive().default(DEFAULT_FIRST_TOKEN_TARGET_MS),
    betweenTokensTargetMs: z.number().positive().default(DEFAULT_BETWEEN_TOKENS_TARGET_MS),
});
