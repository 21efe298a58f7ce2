import type { z } from "zod";
import type { modelVersionSpecSchema } from "./modelVersionSpecSchema";

/** Spec of a `ModelVersion`, with defaults filled in. */
export type ModelVersionSpec = z.infer<typeof modelVersionSpecSchema>;
