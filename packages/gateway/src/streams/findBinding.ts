import type { SoftwareVersion } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { IdentifiedRequest } from "../forwarding/identifiedRequest";
import type { Refusal } from "../forwarding/refusal";
import type { ServeOptions } from "../forwarding/serveOptions";
import { bindStream } from "./bindStream";
import type { StreamBinding } from "./streamBinding";

const UNKNOWN_ORIGIN: Refusal = {
    status: 503,
    reason: "stream_origin_unknown",
    detail: "It is not known which version of the service began this stream. This attempt was not run; "
        + "the stream can be requested anew, from its beginning.",
};

const FREE: StreamBinding = { kind: "free" };

/**
 * Finds out at which software version a request may run; only streams that clients take up are bound to one, and those of
 * which another host relays the rest, which states `relayedVersion`.
 */
export const findBinding = async (
    { upstreams, streamOrigins }: ServeOptions,
    { head, route, service, account }: IdentifiedRequest,
    relayedVersion?: SoftwareVersion,
): Promise<Result<StreamBinding, Refusal>> => {
    const { resumedRequestId, lastEventId } = head;
    if (relayedVersion !== undefined) {
        return Ok({ kind: "bound", service: undefined, softwareVersion: relayedVersion });
    }
    if (!route.isResumable || resumedRequestId === undefined && lastEventId === undefined) {
        return Ok(FREE);
    }
    const knowledge = await streamOrigins.find(resumedRequestId, account?.accountId, service);
    const binding = bindStream(knowledge, upstreams.versionsOf(service), account?.accountId);
    if (binding.kind === "unknown" && lastEventId === undefined) {
        return Ok(FREE);
    }
    const isAllowed = binding.kind !== "bound" || binding.service === undefined
        || route.destinations.some(destination => destination.service === binding.service);
    return binding.kind === "unknown" || !isAllowed ? Err(UNKNOWN_ORIGIN) : Ok(binding);
};
