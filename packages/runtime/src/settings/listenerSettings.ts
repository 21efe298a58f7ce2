import type { z } from "zod";
import type { listenerSettingsSchema } from "./listenerSettingsSchema";

/** Address of a listener. */
export type ListenerSettings = z.infer<typeof listenerSettingsSchema>;
