import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { explainRoute, type ExplainRouteOptions, type RouteQuery } from "@ibislanding/gateway";
import { type HttpHandler, readJsonBody, sendJson, sendProblem } from "@ibislanding/runtime";
import { Err, Ok, type Result } from "ts-results";
import { routeQuerySchema } from "./routeQuerySchema";

const MAXIMUM_BODY_BYTES = 65_536;

const PATH = "/explain/route";

const parseQuery = (body: unknown): Result<RouteQuery, Failure> => {
    const parsed = routeQuerySchema.safeParse(body);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const faults = parsed.error.issues.map(({ path, message }) =>
        path.length === 0 ? message : `${path.join(".")}: ${message}`
    );
    return Err(createFailure(ErrorCode.BadRequest, { message: `The query is invalid: ${faults.join("; ")}.` }));
};

/**
 * Creates the handler of `POST /explain/route`, which explains where this host would send a request. The query is in the
 * body, because it contains the key of an account.
 */
export const createExplainHandler = (options: () => ExplainRouteOptions): HttpHandler => async (request, response) => {
    if (request.method !== "POST" || request.url?.split("?")[0] !== PATH) {
        request.resume();
        sendProblem(response, createFailure(ErrorCode.UnknownRoute));
        return;
    }
    const body = await readJsonBody(request, response, MAXIMUM_BODY_BYTES);
    const result = body.andThen(parseQuery).andThen(query => explainRoute(options(), query));
    if (result.err) {
        sendProblem(response, result.val);
        return;
    }
    sendJson(response, 200, result.val);
};
