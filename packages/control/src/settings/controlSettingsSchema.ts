import { listenerSettingsSchema, platformSettingsSchema, processSettingsSchema } from "@ibislanding/runtime";
import * as z from "zod";

const DEFAULT_LEASE_DURATION_MS = 9_000;
const MINIMUM_LEASE_DURATION_MS = 1_000;
const DEFAULT_LONGEST_PAUSE_MS = 10_000;
const DEFAULT_ROUND_INTERVAL_MS = 1_000;
const MINIMUM_ROUND_INTERVAL_MS = 100;
const DEFAULT_SCALE_IN_DELAY_MS = 600_000;

/** Settings of `ibis-control`. */
export const controlSettingsSchema = z.strictObject({
    process: processSettingsSchema,
    platform: platformSettingsSchema,
    /** Listener for the other processes of the system. */
    internal: listenerSettingsSchema,
    control: z.strictObject({
        /** Time after which a service's lease expires unless renewed; must be the same on all control hosts. */
        leaseDurationMs: z.int().min(MINIMUM_LEASE_DURATION_MS).default(DEFAULT_LEASE_DURATION_MS),
        /**
         * Maximum time for which a process may be paused between checking its lease and sending an order. A new lease
         * holder waits this long before it sends orders to upstreams that don't check fencing numbers, because orders
         * of the previous holder may still reach them.
         */
        longestPauseMs: z.int().min(0).default(DEFAULT_LONGEST_PAUSE_MS),
        /** Time between two reconciliations of a service. */
        roundIntervalMs: z.int().min(MINIMUM_ROUND_INTERVAL_MS).default(DEFAULT_ROUND_INTERVAL_MS),
        /** Time the demand must have been lower before replicas are removed. */
        scaleInDelayMs: z.int().min(0).default(DEFAULT_SCALE_IN_DELAY_MS),
        /** Whether the cloud API rejects orders with a stale fencing number. */
        cloudHonoursFencing: z.boolean().default(false),
    }).prefault({}),
    membership: z.strictObject({
        /** Internal addresses of other hosts, in addition to those in the host list. */
        seeds: z.array(z.string().min(1)).default([]),
    }).prefault({}),
});
