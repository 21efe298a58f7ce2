import { createFailure, ErrorCode, type Failure, type RequestId } from "@ibislanding/core";
import { type HttpHandler, type Logger, type MetricsRegistry, sendJson, sendProblem } from "@ibislanding/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { Err, type Result } from "ts-results";
import type { AdminServices } from "../adminServices";
import type { Authenticator } from "../operators/authenticator";
import type { AdminResponse } from "./adminResponse";
import { adminRoutes } from "./adminRoutes";
import { createEventWriter } from "./createEventWriter";
import { matchRoute } from "./matchRoute";
import { parseTarget } from "./parseTarget";
import { readAdminBody } from "./readAdminBody";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const REQUEST_ID_LENGTH = 16;

interface HandlerOptions {
    readonly services: AdminServices;
    readonly authenticate: Authenticator;
    readonly maximumBodyBytes: number;
    readonly logger: Logger;
    readonly metrics: MetricsRegistry;
}

const sendResponse = async (
    response: ServerResponse,
    adminResponse: AdminResponse,
    stopSignal: AbortSignal,
): Promise<void> =>
    match(adminResponse)
        .with({ type: "json" }, async ({ status, body, headers }) => sendJson(response, status, body, headers))
        .with({ type: "events" }, async ({ run }) => {
            await run(createEventWriter(response, stopSignal));
            response.end();
        })
        .exhaustive();

/** Creates the HTTP handler of the administration API: authenticates, routes, counts and logs each request. */
export const createAdminHandler = (
    { services, authenticate, maximumBodyBytes, logger, metrics }: HandlerOptions,
): HttpHandler => {
    const requests = metrics.counter("ibis_admin_requests_total", "Requests to the administration API.");
    const durations = metrics.distribution("ibis_admin_request_duration_ms", "Time to answer a request.");

    const requestIdOf = (request: IncomingMessage): RequestId => {
        const given = request.headers["x-request-id"];
        return (typeof given === "string" && REQUEST_ID_PATTERN.test(given)
            ? given
            : services.random.nextHex(REQUEST_ID_LENGTH)) as RequestId;
    };

    const routeRequest = async (
        request: IncomingMessage,
        response: ServerResponse,
        requestId: RequestId,
        signal: AbortSignal,
    ): Promise<Result<AdminResponse, Failure>> => {
        const operator = authenticate(request.headers.authorization);
        const target = parseTarget(request.url ?? "/");
        if (operator.err || target.err) {
            return Err(operator.err ? operator.val : target.val as Failure);
        }
        const { segments, query } = target.val;
        const matched = matchRoute(adminRoutes, request.method ?? "", segments);
        if (matched.err) {
            return matched;
        }
        const body = await readAdminBody(request, response, maximumBodyBytes);
        if (body.err) {
            return body;
        }
        const { route, parameters } = matched.val;
        const { headers } = request;
        const adminRequest = {
            requestId,
            operator: operator.val,
            parameters,
            query,
            headers,
            body: body.val,
            signal,
        };
        return route.handle(adminRequest, services);
    };

    const routeRequestSafely = async (
        ...parameters: Parameters<typeof routeRequest>
    ): Promise<Result<AdminResponse, Failure>> => {
        try {
            return await routeRequest(...parameters);
        }
        catch (error) {
            const stack = error instanceof Error ? error.stack : undefined;
            logger.error("request failed", { requestId: parameters[2], stack });
            return Err(createFailure(ErrorCode.Internal));
        }
    };

    return async (request, response) => {
        const startMs = services.clock.monotonicMs();
        const requestId = requestIdOf(request);
        const closed = new AbortController();
        response.on("close", () => closed.abort());
        response.setHeader("x-request-id", requestId);
        const result = await routeRequestSafely(request, response, requestId, closed.signal);
        durations.record(services.clock.monotonicMs() - startMs);
        if (result.ok) {
            await sendResponse(response, result.val, services.stopSignal);
        }
        else {
            // The rest of a body that is too large is not read, so the connection can't be reused.
            response.shouldKeepAlive &&= result.val.code !== ErrorCode.BodyTooLarge;
            sendProblem(response, result.val, requestId);
        }
        const { statusCode } = response;
        requests.add(1, { method: request.method ?? "", status: String(statusCode) });
        logger.info("request", { requestId, method: request.method, path: request.url?.slice(0, 200), statusCode });
    };
};
