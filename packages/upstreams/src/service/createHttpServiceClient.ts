import { createFailure, createHalfOpenAgent, ErrorCode } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { Err, Ok } from "ts-results";
import { readResponseBody } from "../http/readResponseBody";
import { sendRequest } from "../http/sendRequest";
import type { ServiceClient } from "./serviceClient";

const IDLE_CONNECTION_TIMEOUT_MS = 15_000;
const MAXIMUM_RESPONSE_BYTES = 8_000_000;

/** Header by which a service declares that it rejected a call before running it. */
const NOT_RUN_HEADER = "x-not-run";

const joinHeaderValues = (response: IncomingMessage): Record<string, string> =>
    Object.fromEntries(
        Object.entries(response.headers).flatMap(([name, value]) =>
            value === undefined ? [] : [[name, Array.isArray(value) ? value.join(", ") : value]]
        ),
    );

/** Creates the HTTP client of one replica of a plain service; disposing of it closes its connections. */
export const createHttpServiceClient = (baseUrl: string): ServiceClient & AsyncDisposable => {
    const agent = createHalfOpenAgent({ keepAlive: true, timeout: IDLE_CONNECTION_TIMEOUT_MS });
    return {
        call: async (call, signal) => {
            const response = await sendRequest({
                method: call.method,
                url: `${baseUrl}${call.path}`,
                headers: { ...call.headers, "x-request-id": call.requestId },
                body: call.body,
                agent: call.freshConnection ? createHalfOpenAgent({}) : agent,
                timeoutMs: call.timeoutMs,
                signal,
            });
            if (response.err) {
                return response;
            }
            const incoming = response.val;
            signal.addEventListener("abort", () => incoming.destroy(), { once: true });
            const headers = joinHeaderValues(incoming);
            const body = await readResponseBody(incoming, call.method, {
                maximumBytes: MAXIMUM_RESPONSE_BYTES,
                timeoutMs: call.timeoutMs,
            });
            if (incoming.statusCode === 503 && headers[NOT_RUN_HEADER] !== undefined) {
                return Err(createFailure(ErrorCode.UpstreamRefused));
            }
            const echoedId = headers["x-request-id"];
            if (echoedId !== undefined && echoedId !== call.requestId) {
                incoming.destroy();
                return Err(createFailure(ErrorCode.UpstreamInvalidAnswer));
            }
            return body === undefined
                ? Err(createFailure(ErrorCode.UpstreamSilent))
                : Ok({ status: incoming.statusCode ?? 0, headers, body });
        },
        [Symbol.asyncDispose]: async () => agent.destroy(),
    };
};
