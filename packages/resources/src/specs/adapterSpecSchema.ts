import * as z from "zod";

/** An adapter that callers address as `model:adapter`. */
export const adapterSpecSchema = z.strictObject({
    /** Name of the model it adapts. */
    model: z.string().min(1).max(128),
    /** Name of the adapter weights in the weight store. */
    artifact: z.string().min(1),
});
