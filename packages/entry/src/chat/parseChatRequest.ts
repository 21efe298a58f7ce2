import { createFailure, ErrorCode, type Failure, parseJson } from "@ibislanding/core";
import { toValidationIssues } from "@ibislanding/resources";
import type { ChatMessage } from "@ibislanding/upstreams";
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import type { ChatRequest } from "./chatRequest";
import { chatRequestSchema } from "./chatRequestSchema";

const toRole = (role: string): ChatMessage["role"] => (role === "developer" ? "system" : role) as ChatMessage["role"];

/** Parses and validates the body of a chat request; the failure lists every invalid field. */
export const parseChatRequest = (body: Buffer): Result<ChatRequest, Failure> => {
    const input = parseJson(body.toString("utf8"));
    if (input === undefined) {
        return Err(createFailure(ErrorCode.BadRequest, { message: "The body is not valid JSON." }));
    }
    const parsed = chatRequestSchema.safeParse(input);
    if (!parsed.success) {
        // Values are omitted because they may contain parts of a prompt.
        const issues = toValidationIssues(parsed.error, undefined, "").map(({ field, reason }) => ({ field, reason }));
        return Err(createFailure(ErrorCode.BadRequest, { details: { issues } }));
    }
    const { data } = parsed;
    return Ok({
        requestedModel: data.model,
        model: data.model.split(":")[0] ?? data.model,
        messages: data.messages.map(({ role, content }) => ({ role: toRole(role), content })),
        streamed: data.stream ?? false,
        includeUsage: data.stream_options?.include_usage ?? false,
        maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
        temperature: data.temperature ?? undefined,
        seed: data.seed ?? undefined,
        bodySha256: createHash("sha256").update(body).digest("hex"),
    });
};
