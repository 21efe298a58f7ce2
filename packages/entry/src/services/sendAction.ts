import { ErrorCode, type Failure, type UpstreamId } from "@ibislanding/core";
import type { ServiceCall, ServiceResponse } from "@ibislanding/upstreams";
import type { Result } from "ts-results";
import type { EntryServices } from "../entryServices";
import { callReplica } from "./callReplica";
import { forwardedHeaders } from "./forwardedHeaders";

const MAXIMUM_ATTEMPTS = 3;

/** Failures after which the action is known not to have run, so that another replica may be tried. */
const NOT_EXECUTED_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.UpstreamUnreachable,
    ErrorCode.UpstreamRefused,
    ErrorCode.UpstreamLeaving,
]);

/** Sends an action to one replica; tries another only if the action is known not to have run. */
export const sendAction = async (
    services: EntryServices,
    service: string,
    call: ServiceCall,
): Promise<Result<ServiceResponse, Failure>> => {
    const excluded = new Set<UpstreamId>();
    // A caller's disconnect does not cancel the action: the response is recorded for a retry.
    const { signal } = new AbortController();
    let result = await callReplica(services, service, call, excluded, signal);
    for (
        let attempt = 1;
        attempt < MAXIMUM_ATTEMPTS && result.err && NOT_EXECUTED_CODES.has(result.val.code);
        attempt++
    ) {
        result = await callReplica(services, service, call, excluded, signal);
    }
    return result.map(answer => ({ ...answer, headers: forwardedHeaders(answer.headers) }));
};
