import * as z from "zod";

const MAXIMUM_RATE = 1_000_000;
const DEFAULT_FIRST_TOKEN_TARGET_MS = 790;
const DEFAULT_BETWEEN_TOKENS_TARGET_MS = 33;

/** A client account: API keys, permissions, rate limits, priority and latency targets. */
export const clientAccountSpecSchema = z.strictObject({
    /** SHA-256 hashes of the account's bearer keys, as lower-case hexadecimal. */
    keySha256: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be 64 lower-case hexadecimal digits")).min(1),
    /** Names of the models the account may use; `*` allows all. */
    models: z.array(z.string().min(1)).default([]),
    /** Names of the plain services the account may call; `*` allows all. */
    services: z.array(z.string().min(1)).default([]),
    requestsPerSecond: z.number().positive().max(MAXIMUM_RATE),
    /** Burst size: requests accepted at once in excess of the rate. */
    burstRequests: z.number().min(1).max(MAXIMUM_RATE).default(10),
    /** Maximum number of requests in progress. */
    maximumConcurrent: z.int().min(1).max(MAXIMUM_RATE).default(1_000),
    /** Under overload, requests of a higher priority are served first. */
    priority: z.enum(["high", "normal", "low"]).default("normal"),
    firstTokenTargetMs: z.number().positive().default(DEFAULT_FIRST_TOKEN_TARGET_MS),
    betweenTokensTargetMs: z.number().positive().default(DEFAULT_BETWEEN_TOKENS_TARGET_MS),
});
