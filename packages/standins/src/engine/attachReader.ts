import type { EngineEvent } from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";
import type { EngineSequence } from "./engineSequence";
import { sendEngineEvent } from "./sendEngineEvent";

/** Attaches a response as the reader of a sequence; a reader attached later replaces it. */
export const attachReader = (sequence: EngineSequence, response: ServerResponse): void => {
    const reader = (event: EngineEvent): void => {
        sendEngineEvent(response, event);
        if (event.type === "finished") {
            response.end();
        }
    };
    sequence.reader = reader;
    response.on("close", () => {
        if (sequence.reader === reader) {
            sequence.reader = undefined;
            sequence.detachedAtMs = performance.now();
        }
    });
};
