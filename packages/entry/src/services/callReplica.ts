import {
    type AvailabilityZone,
    createFailure,
    ErrorCode,
    type Failure,
    type Region,
    type UpstreamId,
} from "@ibislanding/core";
import { applyRoutingEvent, selectServiceReplica } from "@ibislanding/routing";
import type { ServiceCall, ServiceResponse } from "@ibislanding/upstreams";
import { Err, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";

const outcomesByCode: Partial<Record<ErrorCode, "refused" | "cancelled">> = {
    [ErrorCode.Cancelled]: "cancelled",
    [ErrorCode.UpstreamLeaving]: "refused",
    [ErrorCode.UpstreamRefused]: "refused",
};

const outcomeOf = (result: Result<ServiceResponse, Failure>): "succeeded" | "failed" | "refused" | "cancelled" => {
    if (result.ok) {
        return "succeeded";
    }
    return outcomesByCode[result.val.code] ?? "failed";
};

/** Sends a call to one replica of a service that is not in `excluded`, and adds the replica to that set. */
export const callReplica = async (
    services: EntryServices,
    service: string,
    call: ServiceCall,
    excluded: Set<UpstreamId>,
    signal: AbortSignal,
): Promise<Result<ServiceResponse, Failure>> => {
    const { clock, directory, metrics, random, settings } = services;
    const { routing } = directory;
    const { requestId } = call;
    const selected = selectServiceReplica(
        routing,
        {
            service,
            region: settings.process.region as Region,
            availabilityZone: settings.process.availabilityZone as AvailabilityZone,
            excluded,
        },
        clock.monotonicMs(),
        random,
    );
    if (selected.err) {
        return selected;
    }
    const upstreamId = selected.val;
    excluded.add(upstreamId);
    const client = directory.service(upstreamId);
    if (client === undefined) {
        return Err(createFailure(ErrorCode.UpstreamUnreachable));
    }
    const started = { type: "request-started", requestId, upstreamId, blockHashes: [], uncachedTokens: 0 } as const;
    applyRoutingEvent(routing, started, clock.monotonicMs());
    const result = await client.call(call, signal);
    const outcome = outcomeOf(result);
    applyRoutingEvent(routing, { type: "request-finished", requestId, upstreamId, outcome }, clock.monotonicMs());
    metrics.attempts.add(1, { service, outcome });
    return result;
};
