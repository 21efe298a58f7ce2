import type { EngineEvent } from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";

/** Sends one event of a stream. */
export const sendEngineEvent = (response: ServerResponse, event: EngineEvent): void => {
    response.write(`data: ${JSON.stringify(event)}\n\n`);
};
