import { ErrorCode, type Failure, type UpstreamId } from "@ibislanding/core";
import type { ServiceCall, ServiceResponse } from "@ibislanding/upstreams";
import type { Result } from "ts-results";
import type { EntryServices } from "../entryServices";
import { callReplica } from "./callReplica";

const MAXIMUM_ATTEMPTS = 3;

const RETRYABLE_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.UpstreamUnreachable,
    ErrorCode.UpstreamRefused,
    ErrorCode.UpstreamSilent,
    ErrorCode.UpstreamInvalidAnswer,
]);

/** Sends an idempotent call; retries it on other replicas after a failure while the retry budget allows. */
export const callRepeatable = async (
    services: EntryServices,
    service: string,
    call: ServiceCall,
    permitRetry: () => boolean,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, Failure>> => {
    const excluded = new Set<UpstreamId>();
    let result = await callReplica(services, service, call, excluded, signal);
    for (let attempt = 1; attempt < MAXIMUM_ATTEMPTS && result.err && RETRYABLE_CODES.has(result.val.code); attempt++) {
        if (signal.aborted || !permitRetry()) {
            return result;
        }
        const next = await callReplica(services, service, call, excluded, signal);
        // No other replica is available; the first failure is more informative than `overloaded`.
        if (next.err && next.val.code === ErrorCode.Overloaded) {
            return result;
        }
        result = next;
    }
    return result;
};
