import type { z } from "zod";
import type { serviceSpecSchema } from "./serviceSpecSchema";

/** Spec of a `Service`, with defaults filled in. */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
