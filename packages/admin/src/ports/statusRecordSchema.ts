import * as z from "zod";

/** Status of a resource, as stored by `ibis-control` under `status/<Kind>/<name>`. */
export const statusRecordSchema = z.object({
    /** Generation of the spec that the status describes. */
    observedGeneration: z.int().min(0),
    conditions: z.array(z.object({
        type: z.string(),
        status: z.enum(["True", "False", "Unknown"]),
        reason: z.string(),
        changedAtMs: z.number(),
    })).default([]),
    /** Replica counts by availability zone. */
    zones: z.array(z.looseObject({ availabilityZone: z.string() })).default([]),
});
