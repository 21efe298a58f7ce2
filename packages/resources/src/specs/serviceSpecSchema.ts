import * as z from "zod";

const DEFAULT_TIMEOUT_MS = 30_000;
const MAXIMUM_TIMEOUT_MS = 3_600_000;

/** A group of upstream replicas: model engines, or replicas of a plain service. */
export const serviceSpecSchema = z.strictObject({
    /** Whether the replicas are model engines or a plain service. */
    type: z.enum(["engine", "plain"]),
    /** Whether calls are idempotent, so that a call may be sent twice. */
    repeatable: z.boolean().default(false),
    /** Whether the service deduplicates calls by idempotency key. */
    deduplicates: z.boolean().default(false),
    /** Whether the replicas reject orders with a stale fencing number. */
    honoursFencing: z.boolean().default(false),
    /** Timeout of one call, unless the client sets a shorter deadline. */
    timeoutMs: z.int().min(1).max(MAXIMUM_TIMEOUT_MS).default(DEFAULT_TIMEOUT_MS),
    /** Policy by which entry hosts select a replica. */
    routingPolicy: z.enum(["cost-aware", "random", "round-robin", "least-loaded", "prefix-affinity"])
        .default("cost-aware"),
});
