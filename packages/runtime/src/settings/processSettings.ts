import type { z } from "zod";
import type { processSettingsSchema } from "./processSettingsSchema";

/** Settings that every program has. */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
