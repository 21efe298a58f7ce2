import { type Failure, toProblem } from "@ibislanding/core";
import { sendProblem } from "@ibislanding/runtime";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { ChatResponseHead } from "./chatResponseHead";
import type { ChatResponseWriter } from "./chatResponseWriter";

const MS_PER_SECOND = 1_000;

/** Creates a writer that streams chat completion chunks as server-sent events. */
export const createStreamedChatWriter = (
    response: ServerResponse,
    head: ChatResponseHead,
    includeUsage: boolean,
): ChatResponseWriter => {
    const common = {
        id: `chatcmpl-${head.requestId}`,
        object: "chat.completion.chunk",
        created: Math.floor(head.createdAtMs / MS_PER_SECOND),
        model: head.model,
    };
    let promptTokens = 0;
    let roleSent = false;

    const open = (): void => {
        if (!response.headersSent) {
            response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": head.callerRequestId,
            });
        }
    };

    const prefix = `${JSON.stringify(common).slice(0, -1)},"choices":[{"index":0,"delta":`;

    const formatChunk = (delta: string, finishReason: string): string =>
        `${prefix}${delta},"finish_reason":${finishReason}}]}`;

    return {
        started: tokens => {
            promptTokens = tokens;
            open();
        },
        token: async (text, eventId) => {
            open();
            const role = roleSent ? "" : "\"role\":\"assistant\",";
            const chunk = formatChunk(`{${role}"content":${JSON.stringify(text)}}`, "null");
            roleSent = true;
            if (!response.write(`id: ${eventId}\ndata: ${chunk}\n\n`) && !response.destroyed) {
                await Promise.race([once(response, "drain"), once(response, "close")]);
            }
        },
        finished: (reason, totalTokens) => {
            open();
            const usage = {
                prompt_tokens: promptTokens,
                completion_tokens: totalTokens,
                total_tokens: promptTokens + totalTokens,
            };
            const last = includeUsage ? `data: ${JSON.stringify({ ...common, choices: [], usage })}\n\n` : "";
            response.end(`data: ${formatChunk("{}", JSON.stringify(reason))}\n\n${last}data: [DONE]\n\n`);
        },
        failed: (failure: Failure) => {
            if (!response.headersSent) {
                sendProblem(response, failure, head.callerRequestId);
                return;
            }
            response.end(
                `event: error\ndata: ${JSON.stringify({ error: toProblem(failure, head.callerRequestId) })}\n\n`,
            );
        },
        heartbeat: () => {
            if (response.headersSent && !response.writableEnded) {
                response.write(": heartbeat\n\n");
            }
        },
    };
};
