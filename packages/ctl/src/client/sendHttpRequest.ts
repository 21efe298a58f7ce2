import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HttpCall } from "./httpCall";
import type { HttpResponse } from "./httpResponse";
import { openRequest } from "./openRequest";
import { readText } from "./readText";

/**
 * Sends one HTTP request and reads the whole response.
 *
 * Fails with `peer_unavailable` when no connection was established, so that nothing was sent, and with
 * `outcome_unknown` when no complete response was received after connecting.
 */
export const sendHttpRequest = (call: HttpCall): Promise<Result<HttpResponse, Failure>> =>
    new Promise(resolve => {
        const request = openRequest(call);
        let connected = false;
        const fail = (reason: string): void => {
            clearTimeout(timer);
            request.destroy();
            const code = connected ? ErrorCode.OutcomeUnknown : ErrorCode.PeerUnavailable;
            const message = connected
                ? `${call.url}: connected, but received no complete response (${reason}).`
                : `${call.url}: could not connect (${reason}).`;
            resolve(Err(createFailure(code, { message })));
        };
        const timer = setTimeout(() => fail(`no response within ${call.timeoutMs} ms`), call.timeoutMs);
        request.on("socket", socket => {
            socket.once("connect", () => {
                connected = true;
            });
        });
        request.on("error", error => fail((error as NodeJS.ErrnoException).code ?? error.message));
        request.on("response", response => {
            readText(response).then(
                body => {
                    clearTimeout(timer);
                    resolve(Ok({ status: response.statusCode ?? 0, body }));
                },
                () => fail("connection closed before the response was complete"),
            );
        });
        request.end(call.body);
    });
