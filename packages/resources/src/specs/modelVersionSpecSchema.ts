import * as z from "zod";

const DEFAULT_CONTEXT_TOKENS = 32_768;
const MAXIMUM_CONTEXT_TOKENS = 10_000_000;

/** One version of a model; clients address the model by its name, without the version. */
export const modelVersionSpecSchema = z.strictObject({
    /** Model name that clients send. */
    model: z.string().min(1).max(128),
    /** Service whose engines run the model. */
    service: z.string().min(1),
    /** Version string that engines report. */
    version: z.string().min(1).max(64),
    /** Name of the model weights in the weight store. */
    artifact: z.string().min(1),
    contextTokens: z.int().min(1).max(MAXIMUM_CONTEXT_TOKENS).default(DEFAULT_CONTEXT_TOKENS),
    /** Whether new requests use this version. */
    active: z.boolean().default(true),
});
