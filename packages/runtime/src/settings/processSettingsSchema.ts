import * as z from "zod";
import { listenerSettingsSchema } from "./listenerSettingsSchema";

const DEFAULT_STOP_DEADLINE_MS = 30_000;
const MAXIMUM_STOP_DEADLINE_MS = 3_600_000;

/** Settings common to all programs. */
export const processSettingsSchema = z.strictObject({
    /** Id of the process; generated at startup when not set. */
    hostId: z.string().min(1).max(64).optional(),
    region: z.string().min(1),
    availabilityZone: z.string().min(1),
    logLevel: z.enum(["error", "warn", "info", "debug"]).default("info"),
    /** Maximum duration of a graceful shutdown. */
    stopDeadlineMs: z.int().min(0).max(MAXIMUM_STOP_DEADLINE_MS).default(DEFAULT_STOP_DEADLINE_MS),
    /** Listener for metrics, state and health checks. */
    operations: listenerSettingsSchema,
});
