import { sendJson, sendProblem } from "@ibislanding/runtime";
import type { ServerResponse } from "node:http";
import type { ChatResponseHead } from "./chatResponseHead";
import type { ChatResponseWriter } from "./chatResponseWriter";

const MS_PER_SECOND = 1_000;

/** Creates a writer that buffers the tokens and sends a single JSON body when the generation has finished. */
export const createBufferedChatWriter = (response: ServerResponse, head: ChatResponseHead): ChatResponseWriter => {
    const texts: string[] = [];
    let promptTokens = 0;
    return {
        started: tokens => {
            promptTokens = tokens;
        },
        token: async text => {
            texts.push(text);
        },
        finished: (reason, totalTokens) =>
            sendJson(response, 200, {
                id: `chatcmpl-${head.requestId}`,
                object: "chat.completion",
                created: Math.floor(head.createdAtMs / MS_PER_SECOND),
                model: head.model,
                choices: [{ index: 0, message: { role: "assistant", content: texts.join("") }, finish_reason: reason }],
                usage: {
                    prompt_tokens: promptTokens,
                    completion_tokens: totalTokens,
                    total_tokens: promptTokens + totalTokens,
                },
            }, { "x-request-id": head.callerRequestId }),
        failed: failure => sendProblem(response, failure, head.callerRequestId),
        heartbeat: () => undefined,
    };
};
