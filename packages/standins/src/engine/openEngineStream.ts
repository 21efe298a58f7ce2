import type { ServerResponse } from "node:http";
import { sendEngineEvent } from "./sendEngineEvent";

const HEARTBEAT_MS = 1_000;

/** Sends the response head of an event stream and heartbeats until the response is closed. */
export const openEngineStream = (response: ServerResponse, requestId: string): void => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    sendEngineEvent(response, { type: "heartbeat", requestId });
    const timer = setInterval(() => sendEngineEvent(response, { type: "heartbeat", requestId }), HEARTBEAT_MS);
    response.on("close", () => clearInterval(timer));
};
