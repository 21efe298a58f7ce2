import type { z } from "zod";
import type { processSettingsSchema } from "./processSettingsSchema";

/** Settings common to all programs. */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
