import type { z } from "zod";
import type { modelVersionSpecSchema } from "./modelVersionSpecSchema";

/** One version of a model. */
export type ModelVersionSpec = z.infer<typeof modelVersionSpecSchema>;
