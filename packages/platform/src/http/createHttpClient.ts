import {
    createByteCollector,
    findBodyDelimiter,
    type FramingLimit,
    isFinalStatus,
    limitFraming,
    rejectInvalidHeads,
} from "@ibislanding/core";
import { Agent, request as sendRequest } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { JsonRequest } from "./jsonRequest";
import type { JsonResponse } from "./jsonResponse";
import type { TransportFailure } from "./transportFailure";

/** Idle connections are closed after this time, before middleboxes such as NATs silently drop their state. */
const IDLE_CONNECTION_TIMEOUT_MS = 15_000;

const MAXIMUM_RESPONSE_BYTES = 16_000_000;

interface HttpClientOptions {
    /** Without it, each request has its own connection, for servers that may write an earlier response again. */
    readonly keepsConnections?: boolean;
    /** Maximum size of the body of a response; a larger one is lost. */
    readonly maximumResponseBytes?: number;
}

const flattenHeaders = (headers: NodeJS.Dict<string | string[]>): Record<string, string | undefined> =>
    Object.fromEntries(
        Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(", ") : value]),
    );

/** Creates an HTTP client with a connection pool; the connection of a timed-out request is destroyed, not reused. */
export const createHttpClient = (
    { keepsConnections = true, maximumResponseBytes = MAXIMUM_RESPONSE_BYTES }: HttpClientOptions = {},
) => {
    const agent = new Agent({ keepAlive: keepsConnections, timeout: IDLE_CONNECTION_TIMEOUT_MS, maxFreeSockets: 16 });

    const send = (request: JsonRequest): Promise<Result<JsonResponse, TransportFailure>> =>
        new Promise(resolve => {
            let isConnected = false;
            const outgoing = sendRequest(request.url, {
                method: request.method,
                agent,
                headers: { "content-type": "application/json", ...request.headers },
            });
            rejectInvalidHeads(outgoing);
            const finish = (result: Result<JsonResponse, TransportFailure>): void => {
                clearTimeout(timer);
                request.signal?.removeEventListener("abort", abort);
                resolve(result);
            };
            const abort = (): void => {
                outgoing.destroy();
                finish(Err(isConnected ? "lost" : "not-sent"));
            };
            const timer = setTimeout(abort, request.timeoutMs);
            request.signal?.addEventListener("abort", abort);
            const sendNow = (): void => {
                const headers = request.headersAtSend === undefined ? {} : request.headersAtSend();
                if (headers === undefined) {
                    abort();
                    return;
                }
                isConnected = true;
                Object.entries(headers).forEach(([name, value]) => outgoing.setHeader(name, value));
                outgoing.end(request.body);
            };
            let framing: FramingLimit | undefined;
            outgoing.on("socket", socket => {
                framing = limitFraming(socket, abort);
                outgoing.once("close", framing.release);
                if (socket.connecting) {
                    socket.once("connect", sendNow);
                }
                else {
                    sendNow();
                }
            });
            outgoing.on("error", () => finish(Err(isConnected ? "lost" : "not-sent")));
            outgoing.on("upgrade", abort);
            outgoing.on("response", response => {
                if (!isFinalStatus(response.statusCode ?? 0)) {
                    abort();
                    return;
                }
                const received = createByteCollector();
                framing?.recordProgress();
                response.on("data", (chunk: Buffer) => {
                    framing?.recordProgress();
                    received.add(chunk);
                    if (received.sizeBytes() > maximumResponseBytes) {
                        abort();
                    }
                });
                response.on("error", () => finish(Err("lost")));
                response.on("aborted", () => finish(Err("lost")));
                response.on("end", () =>
                    finish(Ok({
                        status: response.statusCode ?? 0,
                        headers: flattenHeaders(response.headers),
                        body: received.take().toString("utf8"),
                        delimiter: findBodyDelimiter(response, request.method),
                    })));
            });
        });

    return { send, [Symbol.asyncDispose]: async () => agent.destroy() };
};
