import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { depositRetries } from "@ibislanding/limits";
import { findResource } from "@ibislanding/resources";
import { readBody, sendProblem } from "@ibislanding/runtime";
import type { ServiceCall } from "@ibislanding/upstreams";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok } from "ts-results";
import type { CallerContext } from "../callers/callerContext";
import type { EntryServices } from "../entryServices";
import { permitRetry } from "../limits/permitRetry";
import { callAction } from "./callAction";
import { callRepeatable } from "./callRepeatable";
import { forwardedHeaders } from "./forwardedHeaders";
import { sendServiceResponse } from "./sendServiceResponse";
import type { ServiceRoute } from "./serviceRoute";

const READ_METHODS = new Set(["GET", "HEAD", "OPTIONS"]);

const findService = ({ configuration, account }: CallerContext, name: string) => {
    const service = findResource(configuration, "Service", name);
    if (service === undefined || service.spec.type !== "plain") {
        return Err(createFailure(ErrorCode.UnknownService));
    }
    return account.spec.services.some(allowed => allowed === "*" || allowed === name)
        ? Ok(service)
        : Err(createFailure(ErrorCode.Forbidden, { message: "The client account may not use this service." }));
};

/** Handles `/services/{name}/{path}`; returns the failure sent to the caller, if any. */
export const handleService = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    route: ServiceRoute,
    context: CallerContext,
    services: EntryServices,
): Promise<Failure | undefined> => {
    const service = findService(context, route.service);
    const body = await readBody(incoming, response, services.settings.requests.maximumBodyBytes);
    const fail = (failure: Failure): Failure => {
        sendProblem(response, failure, context.callerRequestId);
        return failure;
    };
    if (service.err || body.err) {
        return fail((service.err ? service.val : body.val) as Failure);
    }
    const abort = new AbortController();
    response.on("close", () => abort.abort());
    const method = incoming.method ?? "GET";
    const { spec } = service.val;
    const remainingMs = Math.max(1, Math.ceil(context.deadlineMs - services.clock.monotonicMs()));
    const isRepeatable = spec.repeatable || READ_METHODS.has(method);
    const call: ServiceCall = {
        requestId: context.requestId,
        method,
        path: route.path,
        headers: forwardedHeaders(incoming.headers),
        body: body.val,
        timeoutMs: Math.min(spec.timeoutMs, remainingMs),
        freshConnection: !isRepeatable,
    };
    depositRetries(services.limits, route.service);
    const result = isRepeatable
        ? await callRepeatable(
            services,
            route.service,
            call,
            () => permitRetry(services, route.service).ok,
            abort.signal,
        )
        : await callAction(services, service.val, call, incoming, context);
    if (result.err) {
        return fail(result.val);
    }
    sendServiceResponse(response, result.val, context.callerRequestId);
    return undefined;
};
