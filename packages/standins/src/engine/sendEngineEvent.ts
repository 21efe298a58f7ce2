import type { EngineEvent } from "@ibislanding/upstreams";
import type { ServerResponse } from "node:http";

/** Writes an engine event as one server-sent event with JSON data. */
export const sendEngineEvent = (response: ServerResponse, event: EngineEvent): void => {
    response.write(`data: ${JSON.stringify(event)}\n\n`);
};
