import type { z } from "zod";
import type { entrySettingsSchema } from "./entrySettingsSchema";

/** Validated settings of `ibis-entry`, with defaults applied. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
