import type { z } from "zod";
import type { tlsSettingsSchema } from "./tlsSettingsSchema";

/** Certificate files of a listener, or `off` for no encryption. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>;
