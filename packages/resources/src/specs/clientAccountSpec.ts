import type { z } from "zod";
import type { clientAccountSpecSchema } from "./clientAccountSpecSchema";

/** A caller's account. */
export type ClientAccountSpec = z.infer<typeof clientAccountSpecSchema>;
