import type { z } from "zod";
import type { statusRecordSchema } from "./statusRecordSchema";

/** Status of a resource, as stored by `ibis-control`. */
export type StatusRecord = z.infer<typeof statusRecordSchema>;
