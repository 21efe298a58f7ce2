import { createFailure, ErrorCode, type Failure, type RequestId } from "@ibislanding/core";
import { createParser } from "eventsource-parser";
import type { IncomingMessage } from "node:http";
import { Err, type Result } from "ts-results";
import type { EngineEvent } from "./engineEvent";
import { parseEngineEvent } from "./parseEngineEvent";

/** Maximum size of one event; the parser keeps what has not ended. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

/**
 * Reads the server-sent events of a stream. The sequence ends after `finished`, or after one failure:
 * `upstream_silent` if no data arrived within the timeout or the connection broke, `upstream_invalid_answer` otherwise.
 */
export const readEngineEvents = async function*(
    response: IncomingMessage,
    requestId: RequestId,
    silenceTimeoutMs: number,
    onSilence: () => void,
): AsyncGenerator<Result<EngineEvent, Failure>> {
    const pendingEvents: string[] = [];
    const parser = createParser({ onEvent: event => void pendingEvents.push(event.data) });
    const decoder = new TextDecoder();
    const closeSilentConnection = (): void => {
        onSilence();
        response.destroy();
    };
    let timer = setTimeout(closeSilentConnection, silenceTimeoutMs);
    let finished = false;
    let pendingBytes = 0;
    try {
        for await (const chunk of response) {
            clearTimeout(timer);
            timer = setTimeout(closeSilentConnection, silenceTimeoutMs);
            pendingBytes += (chunk as Buffer).length;
            parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
            pendingBytes = pendingEvents.length > 0 ? 0 : pendingBytes;
            if (pendingBytes > MAXIMUM_EVENT_BYTES) {
                response.destroy();
                yield Err(createFailure(ErrorCode.UpstreamInvalidAnswer, { message: "an event does not end" }));
                return;
            }
            for (const text of pendingEvents.splice(0)) {
                const event = parseEngineEvent(text, requestId);
                yield event;
                if (event.err) {
                    return;
                }
                finished ||= event.val.type === "finished";
            }
        }
    }
    catch {
        // The connection broke; the sequence ends with the failure below unless the answer is complete.
    }
    finally {
        clearTimeout(timer);
    }
    if (!finished) {
        yield Err(createFailure(ErrorCode.UpstreamSilent));
    }
};
