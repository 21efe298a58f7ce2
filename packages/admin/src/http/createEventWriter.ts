import type { ServerResponse } from "node:http";
import type { EventWriter } from "./eventWriter";

/** Starts a `text/event-stream` response and creates its writer; `stopSignal` ends the wait for a slow client. */
export const createEventWriter = (response: ServerResponse, stopSignal: AbortSignal): EventWriter => {
    response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-store" });
    response.flushHeaders();

    const write = async (text: string): Promise<void> => {
        if (response.destroyed || response.write(text) || stopSignal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            response.once("drain", resolve);
            response.once("close", resolve);
            stopSignal.addEventListener("abort", () => resolve(), { once: true });
        });
    };

    return {
        event: (name, id, data) => write(`event: ${name}\nid: ${id}\ndata: ${JSON.stringify(data)}\n\n`),
        heartbeat: () => {
            if (!response.writableNeedDrain && !response.destroyed) {
                response.write(": heartbeat\n\n");
            }
        },
    };
};
