import type { ServerResponse } from "node:http";
import type { EngineSequence } from "./engineSequence";
import { sendEngineEvent } from "./sendEngineEvent";

/** Sends the tokens that a sequence has generated after the first `afterTokens`, and its end if it has finished. */
export const replaySequence = (sequence: EngineSequence, afterTokens: number, response: ServerResponse): void => {
    const { requestId, promptTokens, cachedTokens, finishReason: reason, generated } = sequence;
    sendEngineEvent(response, { type: "started", requestId, promptTokens, cachedTokens });
    sequence.answer.slice(afterTokens, generated).forEach((text, offset) =>
        sendEngineEvent(response, { type: "token", requestId, index: afterTokens + offset, text })
    );
    if (sequence.state === "finished") {
        sendEngineEvent(response, { type: "finished", requestId, reason, totalTokens: generated });
        response.end();
    }
};
