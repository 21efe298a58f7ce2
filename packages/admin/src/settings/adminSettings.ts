import type { z } from "zod";
import type { adminSettingsSchema } from "./adminSettingsSchema";

/** Settings of `ibis-admin`. */
export type AdminSettings = z.infer<typeof adminSettingsSchema>;
