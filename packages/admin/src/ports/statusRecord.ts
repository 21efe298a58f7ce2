import type { z } from "zod";
import type { statusRecordSchema } from "./statusRecordSchema";

/** Status of a resource as `ibis-control` stores it. */
export type StatusRecord = z.infer<typeof statusRecordSchema>;
