import { createFailure, ErrorCode, type Failure, isFinalStatus, rejectInvalidHeads } from "@ibislanding/core";
import { type Agent, type IncomingMessage, request as openRequest } from "node:http";
import { Err, Ok, type Result } from "ts-results";

interface OutgoingRequest {
    readonly method: string;
    readonly url: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string | Uint8Array;
    readonly agent: Agent;
    /** Time allowed until the response headers arrive. */
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

/**
 * Sends a request and resolves once the response headers have arrived. Fails with `upstream_unreachable` if no connection
 * was made; if the request may have been received, with `cancelled` after an abort, `upstream_invalid_answer` if the status
 * is none of a final response, and `upstream_silent` otherwise.
 */
export const sendRequest = (outgoing: OutgoingRequest): Promise<Result<IncomingMessage, Failure>> =>
    new Promise(resolve => {
        let connected = false;
        const { method, headers, agent, signal } = outgoing;
        const request = openRequest(outgoing.url, { method, headers, agent });
        rejectInvalidHeads(request);
        const settle = (result: Result<IncomingMessage, Failure>): void => {
            clearTimeout(timer);
            resolve(result);
        };
        const fail = (): void => {
            const code = connected ? ErrorCode.UpstreamSilent : ErrorCode.UpstreamUnreachable;
            settle(Err(createFailure(signal.aborted && connected ? ErrorCode.Cancelled : code)));
        };
        const abort = (): void => {
            request.destroy();
            fail();
        };
        const timer = setTimeout(abort, outgoing.timeoutMs);
        signal.addEventListener("abort", abort, { once: true });
        request.on("close", () => signal.removeEventListener("abort", abort));
        request.on("socket", socket => {
            connected = !socket.connecting;
            // A reused socket emits no further `connect` event, so a listener would leak.
            if (socket.connecting) {
                socket.once("connect", () => {
                    connected = true;
                });
            }
        });
        request.on("error", fail);
        request.on("upgrade", abort);
        request.on("response", response => {
            const status = response.statusCode ?? 0;
            if (isFinalStatus(status)) {
                settle(Ok(response));
                return;
            }
            request.destroy();
            settle(Err(createFailure(ErrorCode.UpstreamInvalidAnswer, { message: `status out of range: ${status}` })));
        });
        request.end(outgoing.body);
    });
