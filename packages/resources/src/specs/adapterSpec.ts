import type { z } from "zod";
import type { adapterSpecSchema } from "./adapterSpecSchema";

/** Spec of an `Adapter`. */
export type AdapterSpec = z.infer<typeof adapterSpecSchema>;
