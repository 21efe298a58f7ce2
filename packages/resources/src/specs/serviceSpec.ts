import type { z } from "zod";
import type { serviceSpecSchema } from "./serviceSpecSchema";

/** A group of upstream replicas. */
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
