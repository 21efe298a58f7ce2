import { createFailure, ErrorCode } from "@ibislanding/core";
import type { ServerResponse } from "node:http";
import type { HttpHandler } from "../http/httpHandler";
import { sendJson } from "../http/sendJson";
import { sendProblem } from "../http/sendProblem";
import type { MetricsRegistry } from "../metrics/metricsRegistry";
import type { RunningProgram } from "./runningProgram";

const MAXIMUM_STATE_BYTES = 1_000_000;

const sendState = (response: ServerResponse, program: RunningProgram): void => {
    const text = JSON.stringify(program.stateDump(), undefined, 2);
    const sizeBytes = Buffer.byteLength(text);
    sendJson(response, 200, sizeBytes <= MAXIMUM_STATE_BYTES ? JSON.parse(text) : { truncated: true, sizeBytes });
};

/** Creates the handler of `/livez`, `/readyz`, `/metrics` and `/state`. Other paths go to the program's own handler. */
export const createOperationsHandler = (
    program: () => RunningProgram | undefined,
    metrics: MetricsRegistry,
): HttpHandler => {
    const notReadyReason = (): string | undefined => {
        const running = program();
        return running === undefined ? "starting" : running.notReadyReason();
    };

    const handlers: Readonly<Record<string, (response: ServerResponse) => void>> = {
        "/livez": response => sendJson(response, 200, { live: true }),
        "/readyz": response => {
            const reason = notReadyReason();
            sendJson(response, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
        },
        "/metrics": response => {
            response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
            response.end(metrics.render());
        },
        "/state": response => {
            const running = program();
            if (running === undefined) {
                sendProblem(response, createFailure(ErrorCode.NotReady));
            }
            else {
                sendState(response, running);
            }
        },
    };

    return async (request, response) => {
        const path = (request.url ?? "/").split("?")[0] ?? "/";
        const handler = handlers[path];
        const programHandler = program()?.operationsHandler;
        if (handler !== undefined) {
            handler(response);
        }
        else if (programHandler === undefined) {
            sendProblem(response, createFailure(ErrorCode.UnknownRoute));
        }
        else {
            await programHandler(request, response);
        }
    };
};
