import { listenerSettingsSchema, platformSettingsSchema, processSettingsSchema } from "@ibislanding/runtime";
import * as z from "zod";

const DEFAULT_MAXIMUM_BODY_BYTES = 4_000_000;
const MAXIMUM_BODY_BYTES = 64_000_000;
const DEFAULT_HEARTBEAT_MS = 5_000;
const DEFAULT_DETACHED_GRACE_MS = 5_000;
const MINIMUM_SECRET_LENGTH = 32;
const DEFAULT_SUBSET_SIZE = 24;

/** Schema of the `ibis-entry` settings. */
export const entrySettingsSchema = z.strictObject({
    process: processSettingsSchema,
    platform: platformSettingsSchema,
    /** Listener for callers. */
    callers: listenerSettingsSchema,
    /** Listener for the other processes of the system. */
    internal: listenerSettingsSchema,
    streams: z.strictObject({
        /** HMAC secret that signs event ids; must be the same on all entry hosts. */
        eventIdSecret: z.string().min(MINIMUM_SECRET_LENGTH),
        /** Interval between heartbeats on a streamed response. */
        heartbeatMs: z.int().min(100).default(DEFAULT_HEARTBEAT_MS),
        /** Time for which an engine continues to generate after its reader has disconnected. */
        detachedGraceMs: z.int().min(0).default(DEFAULT_DETACHED_GRACE_MS),
    }),
    requests: z.strictObject({
        maximumBodyBytes: z.int().min(1_000).max(MAXIMUM_BODY_BYTES).default(DEFAULT_MAXIMUM_BODY_BYTES),
    }).prefault({}),
    routing: z.strictObject({
        /** Maximum number of replicas of one service that this host uses. */
        subsetSize: z.int().min(1).default(DEFAULT_SUBSET_SIZE),
    }).prefault({}),
    membership: z.strictObject({
        /** Internal addresses of other hosts, in addition to those in the host list. */
        seeds: z.array(z.string().min(1)).default([]),
    }).prefault({}),
});
