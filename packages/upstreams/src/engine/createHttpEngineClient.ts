import {
    createFailure,
    createHalfOpenAgent,
    ErrorCode,
    type Failure,
    parseJson,
    type RequestId,
} from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { destroyIdleSockets } from "../http/destroyIdleSockets";
import { readResponseBody } from "../http/readResponseBody";
import { sendRequest } from "../http/sendRequest";
import type { EngineClient } from "./engineClient";
import type { EngineEvent } from "./engineEvent";
import { readEngineEvents } from "./readEngineEvents";

/** Time after which idle connections are closed, before middleboxes drop their state. */
const IDLE_CONNECTION_TIMEOUT_MS = 15_000;

const CALL_TIMEOUT_MS = 2_000;
const IMPORT_TIMEOUT_MS = 10_000;
const MAXIMUM_RESPONSE_BYTES = 4_000_000;

const BODY_LIMITS = { maximumBytes: MAXIMUM_RESPONSE_BYTES, timeoutMs: CALL_TIMEOUT_MS };

const neverAborted = new AbortController().signal;

/** Time without data after which a stream is considered silent; engines send heartbeats more often than this. */
const DEFAULT_SILENCE_TIMEOUT_MS = 3_000;

const refusalCodes: Readonly<Record<string, ErrorCode>> = {
    [ErrorCode.UpstreamLeaving]: ErrorCode.UpstreamLeaving,
    [ErrorCode.StaleFencingNumber]: ErrorCode.StaleFencingNumber,
};

/** Parses a JSON body; an empty one is treated as an empty object. */
const parseBody = (body: Buffer): unknown => parseJson(body.toString("utf8") || "{}");

const toRefusalFailure = async (response: IncomingMessage, method: string): Promise<Failure> => {
    const body = await readResponseBody(response, method, BODY_LIMITS);
    const refusal = (body === undefined ? undefined : parseBody(body)) as { code?: string; } | undefined;
    return createFailure(refusalCodes[refusal?.code ?? ""] ?? ErrorCode.UpstreamRefused);
};

/** Creates the HTTP client of one engine; disposing of it closes its connections. */
export const createHttpEngineClient = (
    baseUrl: string,
    silenceTimeoutMs = DEFAULT_SILENCE_TIMEOUT_MS,
): EngineClient & AsyncDisposable => {
    const agent = createHalfOpenAgent({ keepAlive: true, timeout: IDLE_CONNECTION_TIMEOUT_MS });

    const sendJsonRequest = (method: string, path: string, body: unknown, timeoutMs: number, signal: AbortSignal) =>
        sendRequest({
            method,
            url: `${baseUrl}${path}`,
            headers: { "content-type": "application/json" },
            body: body === undefined ? "" : JSON.stringify(body),
            agent,
            timeoutMs,
            signal,
        });

    const call = async <T>(method: string, path: string, body?: unknown, timeoutMs = CALL_TIMEOUT_MS) => {
        const response = await sendJsonRequest(method, path, body, timeoutMs, neverAborted);
        if (response.err) {
            return response;
        }
        if (response.val.statusCode !== 200) {
            return Err(await toRefusalFailure(response.val, method));
        }
        const text = await readResponseBody(response.val, method, { ...BODY_LIMITS, timeoutMs });
        if (text === undefined) {
            return Err(createFailure(ErrorCode.UpstreamSilent));
        }
        const parsed = parseBody(text);
        return parsed === undefined ? Err(createFailure(ErrorCode.UpstreamInvalidAnswer)) : Ok(parsed as T);
    };

    const openStream = async (
        path: string,
        body: unknown,
        requestId: RequestId,
        signal: AbortSignal,
    ): Promise<Result<AsyncIterable<Result<EngineEvent, Failure>>, Failure>> => {
        const response = await sendJsonRequest("POST", path, body, silenceTimeoutMs, signal);
        if (response.err) {
            // The engine's idle connections may be broken in the same way as the one that failed.
            destroyIdleSockets(agent);
            return response;
        }
        if (response.val.statusCode !== 200) {
            return Err(await toRefusalFailure(response.val, "POST"));
        }
        const incoming = response.val;
        signal.addEventListener("abort", () => incoming.destroy(), { once: true });
        return Ok(readEngineEvents(incoming, requestId, silenceTimeoutMs, () => destroyIdleSockets(agent)));
    };

    return {
        generate: (request, signal) => openStream("/v1/generate", request, request.requestId, signal),
        attach: (requestId, afterTokens, signal) =>
            openStream(`/v1/streams/${requestId}/attach`, { afterTokens }, requestId, signal),
        cancel: async requestId => (await call("DELETE", `/v1/streams/${requestId}`)).map(() => undefined),
        load: () => call("GET", "/v1/load"),
        cacheEvents: afterSequence => call("GET", `/v1/cache-events?after=${afterSequence}`),
        exportCache: requestId => call("POST", `/v1/streams/${requestId}/export`),
        importCache: (fromUrl, handle) => call("POST", "/v1/caches/import", { fromUrl, handle }, IMPORT_TIMEOUT_MS),
        order: async order => (await call("POST", "/v1/orders", order)).map(() => undefined),
        [Symbol.asyncDispose]: async () => agent.destroy(),
    };
};
