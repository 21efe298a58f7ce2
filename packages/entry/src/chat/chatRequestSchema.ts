import * as z from "zod";

const MAXIMUM_MESSAGES = 10_000;
const MAXIMUM_TOKENS = 1_000_000;

const contentSchema = z.union([
    z.string(),
    z.array(z.looseObject({ type: z.literal("text"), text: z.string() }))
        .transform(parts => parts.map(({ text }) => text).join("")),
]);

/** Schema of a chat completion body; fields that the system does not use are accepted and ignored. */
export const chatRequestSchema = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(z.looseObject({
        role: z.enum(["system", "developer", "user", "assistant", "tool"]),
        content: contentSchema,
    })).min(1).max(MAXIMUM_MESSAGES),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: z.int().min(1).max(MAXIMUM_TOKENS).nullish(),
    max_completion_tokens: z.int().min(1).max(MAXIMUM_TOKENS).nullish(),
    temperature: z.number().min(0).max(2).nullish(),
    seed: z.int().nullish(),
    n: z.literal(1).nullish(),
});
