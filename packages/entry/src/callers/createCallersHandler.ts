import { createFailure, ErrorCode, type Failure, type RequestId } from "@ibislanding/core";
import type { ConfigurationDocument } from "@ibislanding/resources";
import { type HttpHandler, sendJson, sendProblem } from "@ibislanding/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { handleChat } from "../chat/handleChat";
import { listModels } from "../chat/listModels";
import type { EntryServices } from "../entryServices";
import { admit } from "../limits/admit";
import { handleService } from "../services/handleService";
import { parseServiceRoute } from "../services/parseServiceRoute";
import { authenticate } from "./authenticate";
import type { CallerContext } from "./callerContext";
import { parseRequestTimeout } from "./parseRequestTimeout";

const REQUEST_ID_LENGTH = 32;
const DEFAULT_TIMEOUT_MS = 600_000;

/** Accepted format of a caller-supplied `X-Request-Id`. */
const CALLER_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/;

type RouteHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    context: CallerContext,
    services: EntryServices,
) => Promise<Failure | undefined>;

interface CallerRoute {
    readonly name: string;
    readonly handle: RouteHandler;
}

const routes: Readonly<Record<string, CallerRoute>> = {
    "POST /v1/chat/completions": { name: "chat", handle: handleChat },
    "GET /v1/models": {
        name: "models",
        handle: async (_request, response, { configuration, account, callerRequestId }) => {
            sendJson(response, 200, listModels(configuration, account), { "x-request-id": callerRequestId });
            return undefined;
        },
    },
};

const findRoute = (method: string, url: URL): CallerRoute | undefined => {
    const serviceRoute = parseServiceRoute(url);
    return serviceRoute === undefined
        ? routes[`${method} ${url.pathname}`]
        : {
            name: "service",
            handle: (request, response, context, services) =>
                handleService(request, response, serviceRoute, context, services),
        };
};

const parseUrl = (text: string | undefined): URL | undefined => {
    const base = "http://localhost";
    return text?.startsWith("/") && URL.canParse(text, base) ? new URL(text, base) : undefined;
};

const callerRequestIdOf = (request: IncomingMessage, requestId: string): string => {
    const header = request.headers["x-request-id"];
    return typeof header === "string" && CALLER_ID_PATTERN.test(header) ? header : requestId;
};

/** Creates the HTTP handler of the callers' listener, which authenticates, admits and routes each request. */
export const createCallersHandler = (
    services: EntryServices,
    configuration: () => ConfigurationDocument | undefined,
    isStopping: () => boolean,
): HttpHandler => {
    const { clock, logger, metrics, random } = services;

    const createContext = (request: IncomingMessage, requestId: RequestId): Result<CallerContext, Failure> => {
        const document = configuration();
        if (document === undefined) {
            return Err(createFailure(ErrorCode.NotReady));
        }
        const account = authenticate(document, request.headers.authorization);
        if (account.err) {
            return account;
        }
        const header = request.headers["x-request-timeout-ms"];
        const timeout = parseRequestTimeout(typeof header === "string" ? header : undefined, DEFAULT_TIMEOUT_MS);
        return timeout.andThen(timeoutMs =>
            Ok({
                requestId,
                callerRequestId: callerRequestIdOf(request, requestId),
                configuration: document,
                account: account.val,
                deadlineMs: clock.monotonicMs() + timeoutMs,
            })
        );
    };

    const handle = async (request: IncomingMessage, response: ServerResponse, requestId: RequestId) => {
        const url = parseUrl(request.url);
        const route = url === undefined ? undefined : findRoute(request.method ?? "", url);
        const context = createContext(request, requestId);
        if (route === undefined || context.err) {
            const failure = route === undefined ? createFailure(ErrorCode.UnknownRoute) : context.val as Failure;
            sendProblem(response, failure, callerRequestIdOf(request, requestId));
            return { name: route?.name ?? "unknown", failure };
        }
        const admitted = admit(services, context.val.account);
        if (admitted.err) {
            sendProblem(response, admitted.val, context.val.callerRequestId);
            return { name: route.name, failure: admitted.val };
        }
        using _admission = admitted.val;
        return { name: route.name, failure: await route.handle(request, response, context.val, services) };
    };

    return async (request, response) => {
        const requestId = random.nextHex(REQUEST_ID_LENGTH) as RequestId;
        const startMs = clock.monotonicMs();
        if (isStopping()) {
            response.setHeader("connection", "close");
        }
        const { name, failure } = await handle(request, response, requestId);
        const code = failure?.code ?? "ok";
        metrics.requests.add(1, { route: name, code });
        logger.info("request", { requestId, route: name, code, durationMs: Math.round(clock.monotonicMs() - startMs) });
    };
};
