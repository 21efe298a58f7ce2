import type { z } from "zod";
import type { entrySettingsSchema } from "./entrySettingsSchema";

/** Settings of `ibis-entry`. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
