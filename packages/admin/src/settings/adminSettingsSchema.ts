import { listenerSettingsSchema, platformSettingsSchema, processSettingsSchema } from "@ibislanding/runtime";
import * as z from "zod";
import { operatorSettingsSchema } from "./operatorSettingsSchema";

const DEFAULT_MAXIMUM_BODY_BYTES = 1_000_000;
const MAXIMUM_BODY_BYTES = 16_000_000;
const DEFAULT_MAXIMUM_WATCHES = 100;
const DEFAULT_WATCH_HEARTBEAT_MS = 10_000;

const isUnique = (texts: readonly string[]): boolean => new Set(texts).size === texts.length;

/** Settings of `ibis-admin`. */
export const adminSettingsSchema = z.strictObject({
    process: processSettingsSchema,
    platform: platformSettingsSchema,
    admin: z.strictObject({
        /** Listener of the administration API. */
        listener: listenerSettingsSchema,
        /** Maximum size of a request body. */
        maximumBodyBytes: z.int().min(1).max(MAXIMUM_BODY_BYTES).default(DEFAULT_MAXIMUM_BODY_BYTES),
        /** Maximum number of open watch streams. */
        maximumWatches: z.int().min(1).default(DEFAULT_MAXIMUM_WATCHES),
        /** Time between heartbeat comments in a watch stream. */
        watchHeartbeatMs: z.int().min(1).default(DEFAULT_WATCH_HEARTBEAT_MS),
    }),
    /** Listener for the system's other processes. */
    internal: listenerSettingsSchema,
    membership: z.strictObject({
        /** Internal addresses of other hosts, in addition to those in the host list. */
        seeds: z.array(z.string().min(1)).default([]),
    }).prefault({}),
    /** Operators who may use the administration API. */
    operators: z.array(operatorSettingsSchema).min(1)
        .refine(operators => isUnique(operators.map(({ name }) => name)), "names must differ")
        .refine(operators => isUnique(operators.map(({ tokenSha256 }) => tokenSha256)), "tokens must differ"),
});
