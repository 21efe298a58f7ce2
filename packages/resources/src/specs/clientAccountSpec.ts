import type { z } from "zod";
import type { clientAccountSpecSchema } from "./clientAccountSpecSchema";

/** Spec of a `ClientAccount`, with defaults filled in. */
export type ClientAccountSpec = z.infer<typeof clientAccountSpecSchema>;
