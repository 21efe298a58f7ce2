import type { z } from "zod";
import type { tlsSettingsSchema } from "./tlsSettingsSchema";

/** Certificate of a listener, or `off`. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>;
