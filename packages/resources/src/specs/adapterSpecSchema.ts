import * as z from "zod";

/** An adapter that clients address as `model:adapter`. */
export const adapterSpecSchema = z.strictObject({
    /** Name of the adapted model. */
    model: z.string().min(1).max(128),
    /** Name of the adapter weights in the weight store. */
    artifact: z.string().min(1),
});
