import * as z from "zod";

const DEFAULT_TIMEOUT_MS = 30_000;
const MAXIMUM_TIMEOUT_MS = 3_600_000;

/** A group of upstream replicas: model engines, or replicas of a plain service. */
export const serviceSpecSchema = z.strictObject({
    /** What the replicas are. */
    type: z.enum(["engine", "plain"]),
    /** Whether a call may be sent twice without harm. */
    repeatable: z.boolean().default(false),
    /** Whether the service recognises a repeated idempotency key. */
    deduplicates: z.boolean().default(false),
    /** Whether the replicas refuse orders with an old fencing number. */
    honoursFencing: z.boolean().default(false),
    /** Time for one call, unless the caller sets a shorter deadline. */
    timeoutMs: z.int().min(1).max(MAXIMUM_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
    /** Policy by which entry hosts choose a replica. */
    routingPolicy: z.enum(["cost-aware", "random", "round-robin", "least-loaded", "prefix-affinity"])
        .default("cost-aware"),
});
