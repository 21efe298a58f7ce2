import { listenerSettingsSchema, platformSettingsSchema, processSettingsSchema } from "@ibislanding/runtime";
import * as z from "zod";

const DEFAULT_MAXIMUM_BODY_BYTES = 4_000_000;
const MAXIMUM_BODY_BYTES = 64_000_000;
const DEFAULT_HEARTBEAT_MS = 5_000;
const DEFAULT_DETACHED_GRACE_MS = 5_000;
const MINIMUM_SECRET_LENGTH = 32;
const DEFAULT_SUBSET_SIZE = 24;

/** Settings of `ibis-entry`. */
export const entrySettingsSchema = z.strictObject({
    process: processSettingsSchema,
    platform: platformSettingsSchema,
    /** Listener for callers. */
    callers: listenerSettingsSchema,
    /** Listener for the other processes of the system. */
    internal: listenerSettingsSchema,
    streams: z.strictObject({
        /** Secret that signs event ids; the same on all entry hosts. */
        eventIdSecret: z.string().min(MINIMUM_SECRET_LENGTH),
        /** Time between heartbeats to a waiting caller. */
        heartbeatMs: z.int().min(100).default(DEFAULT_HEARTBEAT_MS),
        /** Time for which an engine goes on when its reader is gone. */
        detachedGraceMs: z.int().min(0).default(DEFAULT_DETACHED_GRACE_MS),
    }),
    requests: z.strictObject({
        maximumBodyBytes: z.int().min(1_000).max(MAXIMUM_BODY_BYTES).default(DEFAULT_MAXIMUM_BODY_BYTES),
    }).prefault({}),
    routing: z.strictObject({
        /** Replicas of one service that this host uses. */
        subsetSize: z.int().min(1).default(DEFAULT_SUBSET_SIZE),
    }).prefault({}),
    membership: z.strictObject({
        /** Internal addresses of other hosts, besides those in the host list. */
        seeds: z.array(z.string().min(1)).default([]),
    }).prefault({}),
});
