import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { StringDecoder } from "node:string_decoder";
import { Err, Ok, type Result } from "ts-results";
import { createSseParser } from "./createSseParser";
import type { HttpCall } from "./httpCall";
import { openRequest } from "./openRequest";
import { parseResponse } from "./parseResponse";
import { readText } from "./readText";
import type { SseEvent } from "./sseEvent";

const toConnectionFailure = (url: string, reason: string): Failure =>
    createFailure(ErrorCode.PeerUnavailable, { message: `${url}: ${reason}` });

const readFailure = async (response: IncomingMessage): Promise<Failure> => {
    const reply = parseResponse<never>({ status: response.statusCode ?? 0, body: await readText(response) });
    return reply.err
        ? reply.val
        : createFailure(ErrorCode.Internal, { message: "The response is not an event stream." });
};

/**
 * Opens a stream of server-sent events and calls the listener for each event; succeeds when the listener returns false.
 *
 * Fails with `peer_unavailable` when the connection fails, nothing is received for the call's timeout, or the server
 * closes the stream; otherwise with the failure that the server sends instead of a stream.
 */
export const openEventStream = (
    call: HttpCall,
    onEvent: (event: SseEvent) => boolean,
): Promise<Result<void, Failure>> =>
    new Promise(resolve => {
        const request = openRequest({ ...call, headers: { ...call.headers, accept: "text/event-stream" } });
        const finish = (result: Result<void, Failure>): void => {
            request.destroy();
            resolve(result);
        };
        request.setTimeout(call.timeoutMs, () =>
            finish(Err(toConnectionFailure(call.url, "no data was received within the timeout"))));
        request.on(
            "error",
            error =>
                finish(Err(toConnectionFailure(call.url, (error as NodeJS.ErrnoException).code ?? error.message))),
        );
        request.on("response", response => {
            const isStream = response.headers["content-type"]?.startsWith("text/event-stream") === true;
            if (!isStream) {
                readFailure(response).then(failure =>
                    finish(Err(failure)), () =>
                    finish(Err(toConnectionFailure(call.url, "incomplete response"))));
                return;
            }
            const parser = createSseParser();
            const decoder = new StringDecoder("utf8");
            response.on("data", (chunk: Buffer) => {
                const wantsMore = parser.push(decoder.write(chunk)).every(onEvent);
                if (!wantsMore) {
                    finish(Ok(undefined));
                }
            });
            response.on("error", () =>
                finish(Err(toConnectionFailure(call.url, "the stream was interrupted"))));
            response.on("end", () => finish(Err(toConnectionFailure(call.url, "the server closed the stream"))));
        });
        request.end();
    });
