import { createParser, type EventSourceMessage } from "eventsource-parser";
import { type IncomingMessage, request as openRequest } from "node:http";
import type { ChatPart } from "./chatPart";
import type { ChatPartRequest } from "./chatPartRequest";

const MS_PER_SECOND = 1_000;

interface Progress {
    text: string;
    lastEventId: string | undefined;
    end: ChatPart["end"];
    code: string;
}

const applyEvent = (progress: Progress, event: EventSourceMessage): void => {
    if (event.data === "[DONE]") {
        progress.end = "done";
        return;
    }
    if (event.event === "error") {
        progress.code = (JSON.parse(event.data) as { error: { code: string; }; }).error.code;
        progress.end = "refused";
        return;
    }
    const chunk = JSON.parse(event.data) as { choices: { delta: { content?: string; }; }[]; };
    progress.text += chunk.choices[0]?.delta.content ?? "";
    progress.lastEventId = event.id ?? progress.lastEventId;
};

const applyRefusal = (progress: Progress, body: string): void => {
    progress.end = "refused";
    try {
        progress.code = (JSON.parse(body) as { code: string; }).code;
    }
    catch {
        progress.code = "malformed";
    }
};

const retryAfterMsOf = (response: IncomingMessage | undefined): number =>
    Number(response?.headers["retry-after"] ?? 0) * MS_PER_SECOND;

/** Opens or resumes a streamed chat and reads it until the connection ends; never rejects. */
export const readChatPart = (request: ChatPartRequest): Promise<ChatPart> =>
    new Promise(resolve => {
        const progress: Progress = { text: "", lastEventId: request.lastEventId, end: "broken", code: "connection" };
        const parser = createParser({ onEvent: event => applyEvent(progress, event) });
        let response: IncomingMessage | undefined;
        const outgoing = openRequest(`${request.url}/v1/chat/completions`, {
            method: "POST",
            agent: false,
            headers: {
                authorization: `Bearer ${request.key}`,
                "content-type": "application/json",
                ...(request.lastEventId === undefined ? {} : { "last-event-id": request.lastEventId }),
            },
        });
        const finish = (): void => resolve({ ...progress, retryAfterMs: retryAfterMsOf(response) });
        outgoing.setTimeout(request.silenceTimeoutMs, () => outgoing.destroy());
        outgoing.on("error", finish);
        outgoing.on("close", finish);
        outgoing.on("response", incoming => {
            response = incoming;
            let body = "";
            incoming.setEncoding("utf8");
            incoming.on("data", (text: string) => {
                body += incoming.statusCode === 200 ? "" : text;
                if (incoming.statusCode === 200) {
                    parser.feed(text);
                }
            });
            incoming.on("error", finish);
            incoming.on("end", () => {
                if (incoming.statusCode !== 200) {
                    applyRefusal(progress, body);
                }
                finish();
            });
        });
        outgoing.end(request.body);
    });
