import type { z } from "zod";
import type { adapterSpecSchema } from "./adapterSpecSchema";

/** An adapter of a model. */
export type AdapterSpec = z.infer<typeof adapterSpecSchema>;
