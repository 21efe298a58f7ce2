import { breakOffResponse } from "@ibislanding/core";
import type { ServerResponse } from "node:http";
import type { ClientResponse } from "./clientResponse";

const MS_PER_S = 1_000;

const REQUEST_TIMEOUT = 408;

const LINE_END = Buffer.from("\r\n");

/** Returns the bytes as one chunk of a chunked body. */
const toBodyChunk = (bytes: Buffer): Buffer =>
    Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`, "latin1"), bytes, LINE_END]);

/**
 * Creates the response to a request; `closesConnection` returns whether the connection is closed after it, and `onRefusal`
 * is called before the head of a refusal.
 */
export const createClientResponse = (
    response: ServerResponse,
    closesConnection: () => boolean,
    onRefusal?: (reason: string) => void,
): ClientResponse => {
    let head: { readonly status: number; readonly headers: readonly (readonly [string, string])[]; } | undefined;

    let isLast = false;

    const sendHead = (): void => {
        if (head === undefined || response.headersSent || response.destroyed) {
            return;
        }
        const connection = isLast || closesConnection() ? [["Connection", "close"] as const] : [];
        response.writeHead(head.status, [...head.headers, ...connection].flat());
    };

    return {
        setHead: (status, headers) => {
            head = { status, headers };
        },
        write: chunk => {
            sendHead();
            if (!response.chunkedEncoding) {
                return response.write(chunk);
            }
            // Node.js would write the size, the bytes and two line ends one by one, which takes longer than the rest of a
            // small event. It still ends the body itself.
            response.chunkedEncoding = false;
            const hasRoom = response.write(toBodyChunk(chunk));
            response.chunkedEncoding = true;
            return hasRoom;
        },
        onDrain: callback => void response.once("drain", callback),
        end: () => {
            sendHead();
            response.end();
        },
        refuse: ({ status, reason, detail, retryAfterMs }) => {
            if (response.headersSent) {
                breakOffResponse(response);
                return;
            }
            onRefusal?.(reason);
            // The rest of the request never comes, so that the connection can't be used again.
            isLast = status === REQUEST_TIMEOUT;
            const body = `${JSON.stringify({ status, code: reason, detail })}\n`;
            head = {
                status,
                headers: [
                    ["Content-Type", "application/problem+json"],
                    ["Content-Length", String(Buffer.byteLength(body))],
                    ...(retryAfterMs === undefined
                        ? []
                        : [["Retry-After", (retryAfterMs / MS_PER_S).toFixed(3)] as const]),
                ],
            };
            sendHead();
            response.end(body);
        },
        isStarted: () => response.headersSent,
        isEnded: () => response.writableEnded || response.destroyed,
    };
};
