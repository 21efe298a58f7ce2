import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { HttpCall } from "./httpCall";
import type { HttpResponse } from "./httpResponse";
import { openRequest } from "./openRequest";
import { readText } from "./readText";

/**
 * Makes one HTTP exchange.
 *
 * Fails with `peer_unavailable` when nothing was sent, and with `outcome_unknown` when the answer was lost.
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
                ? `${call.url}: the answer was lost (${reason}).`
                : `${call.url}: no connection (${reason}).`;
            resolve(Err(createFailure(code, { message })));
        };
        const timer = setTimeout(() => fail(`no answer within ${call.timeoutMs} ms`), call.timeoutMs);
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
                () => fail("the connection ended within the answer"),
            );
        });
        request.end(call.body);
    });
