import type { z } from "zod";
import type { listenerSettingsSchema } from "./listenerSettingsSchema";

/** Address, port and TLS settings of a listener. */
export type ListenerSettings = z.infer<typeof listenerSettingsSchema>;
