import type { z } from "zod";
import type { controlSettingsSchema } from "./controlSettingsSchema";

/** Settings of `ibis-control`. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
