import { guardConnections, listen } from "@ibislanding/runtime";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { checkRelayedRequest } from "../decisions/checkRelayedRequest";
import { decodeRelayHead } from "../messages/decodeRelayHead";
import { encodeHeaderText } from "../messages/encodeHeaderText";
import { relayHeaders } from "../messages/relayHeaders";
import { removeRelayHeaders } from "../messages/removeRelayHeaders";
import type { RelayListenerOptions } from "./relayListenerOptions";

/** Maximum size of a header block: that of callers' listener, and room for the headers between hosts. */
const MAXIMUM_HEADER_BYTES = 69_632;

/** Idle timeout of connections, above that of the client, so that a request does not race with the close. */
const IDLE_TIMEOUT_MS = 6_000;

const countMarks = ({ rawHeaders }: IncomingMessage): number =>
    rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === relayHeaders.mark).length;

const refuse = (request: IncomingMessage, response: ServerResponse, reason: string): void => {
    // The rest of the body is read, so that the connection can be used again.
    request.resume();
    const body = `${JSON.stringify({ status: 503, code: reason })}\n`;
    response.writeHead(503, {
        "Content-Type": "application/problem+json",
        "Content-Length": Buffer.byteLength(body),
        [relayHeaders.refusal]: reason,
    });
    response.end(body);
};

/** Opens the listener for requests that other hosts relay; rejects if the address can't be bound. */
export const startRelayListener = async (options: RelayListenerOptions): Promise<AsyncDisposable> => {
    const server = createServer({
        maxHeaderSize: MAXIMUM_HEADER_BYTES,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: IDLE_TIMEOUT_MS,
        requestTimeout: 0,
        noDelay: true,
    });
    guardConnections(
        server,
        (request, response) => {
            const text = request.headers[relayHeaders.head];
            const head = typeof text === "string" ? decodeRelayHead(text) : undefined;
            const checked = checkRelayedRequest({
                marks: countMarks(request),
                head,
                isKnownSender: options.isKnownSender,
                reachesUpstreams: options.reachesUpstreams(),
            });
            response.setHeader(relayHeaders.load, options.requestsInFlight());
            if (checked.err) {
                options.onRefused({ reason: checked.val, sender: head?.sender });
                refuse(request, response, checked.val);
                return;
            }
            options.onAccepted();
            const { bodyBytes, ...rest } = checked.val;
            removeRelayHeaders(request);
            let isConfirmed = false;
            options.handle(request, response, {
                ...rest,
                onBodyBytes: receivedBytes => {
                    if (!isConfirmed && receivedBytes >= bodyBytes) {
                        isConfirmed = true;
                        response.writeProcessing();
                    }
                },
                onRefusal: reason => void response.setHeader(relayHeaders.refusal, encodeHeaderText(reason)),
                onAnswer: softwareVersion =>
                    void response.setHeader(relayHeaders.version, encodeHeaderText(softwareVersion)),
            });
        },
        options.connections,
        options.onConnectionClosed,
    );
    await listen(server, options.address);
    return {
        [Symbol.asyncDispose]: async () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
