import { findBodyDelimiter, type SoftwareVersion } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok } from "ts-results";
import { discardBody } from "./discardBody";
import { filterHeaders } from "./filterHeaders";
import type { ForwardContext } from "./forwardContext";
import { isEventStream } from "./isEventStream";
import type { Refusal } from "./refusal";
import type { RelayOutcome } from "./relayOutcome";
import type { RelayRequestResult } from "./relayRequestResult";
import { relayResponse } from "./relayResponse";
import type { RequestRelay } from "./requestRelay";

/** `Retry-After` of a host that is cut off and finds no peer; the load balancer learns of it within about this time. */
const CUT_OFF_RETRY_MS = 500;

const FIRST_UNSUCCESSFUL_STATUS = 300;

/** Removed from streams: the events of several runs need not add up to the length that the first one stated. */
const STREAM_LENGTH = "content-length";

const repeat = (reason: string): RelayOutcome => ({
    kind: "attempt",
    outcome: { kind: "repeat", reason, suspectedIds: [] },
});

const deliver = async (
    context: ForwardContext,
    { privateHeaders }: RequestRelay,
    { body, softwareVersion, hasFailed, closeConnection }: RelayRequestResult & { readonly kind: "answered"; },
): Promise<RelayOutcome> => {
    const { options, admitted, progress } = context;
    const { clientResponse, clock, codec } = options;
    const status = body.statusCode ?? 0;
    const isSuccess = status < FIRST_UNSUCCESSFUL_STATUS;
    const isStream = admitted.route.kind === "stream" && isSuccess;
    const hasEvents = isStream && isEventStream(body);
    if (clientResponse.isStarted() && !hasEvents) {
        // Part of the stream was already sent under another head; another body must not become part of the stream.
        discardBody(body, closeConnection);
        return repeat(`status ${status} in the middle of a stream`);
    }
    const excluded = isStream ? new Set([...privateHeaders, STREAM_LENGTH]) : privateHeaders;
    clientResponse.setHead(status, filterHeaders(body.rawHeaders, excluded));
    const delivery = await relayResponse({
        response: {
            head: codec.readResponse(body),
            body,
            delimiter: findBodyDelimiter(body, options.request.method ?? "GET"),
            recordProgress: () => undefined,
            hasFailed,
            closeConnection,
        },
        isStream,
        hasEvents,
        afterEventId: context.lastEventId,
        clientResponse,
        memory: options.memory,
        onFirstByte: () => {
            progress.firstByteAtMs ??= clock.monotonicMs();
        },
        onError: error => options.events.onRequestError({ requestId: admitted.head.requestId, error }),
    });
    progress.received = delivery.received;
    if (delivery.defect === undefined) {
        clientResponse.end();
        return { kind: "final", result: Ok(status) };
    }
    context.lastEventId = delivery.lastEventId ?? context.lastEventId;
    if (clientResponse.isStarted()) {
        context.softwareVersion ??= softwareVersion as SoftwareVersion | undefined;
        // Only events of a known version can be continued by another run, after an event that has an id.
        context.mayRepeat &&= hasEvents && context.lastEventId !== undefined && context.softwareVersion !== undefined;
    }
    return repeat(`relay: ${delivery.defect}`);
};

/** Hosts that have slots of a brittle service of which this host has none; undefined if the request is placed here. */
const findSlotOwners = ({ options, admitted }: ForwardContext): readonly string[] | undefined => {
    const owners = options.relayed === undefined ? options.upstreams.brittle.slotOwners(admitted.service) : [];
    return owners.length === 0 ? undefined : owners;
};

/**
 * Passes a request to a peer if this host is cut off from the upstreams of its service, has no slot of a brittle service, or is
 * told which hosts serve it better (`betterHosts`). Returns undefined if the request is to be sent to upstreams from here: none
 * is so, or no peer helps and the host is not cut off or has connections of before the cut that still deliver answers. A request
 * that was relayed to a host that is cut off is refused instead of being relayed again. `isMoved` states that the run goes on at
 * an engine that holds a slot for it.
 */
export const relayRequest = async (
    context: ForwardContext,
    isMoved: boolean,
    betterHosts?: readonly string[],
): Promise<RelayOutcome | undefined> => {
    const { options, admitted, body, ended } = context;
    const { relay, request, clientResponse } = options;
    const { service } = admitted;
    const isCutOff = relay?.isCutOff(service) === true;
    const hosts = relay === undefined || isCutOff || isMoved ? undefined : betterHosts ?? findSlotOwners(context);
    if (relay === undefined || !isCutOff && hosts === undefined) {
        return undefined;
    }
    const refuse = (reason: string): RelayOutcome => ({
        kind: "final",
        result: Err(
            context.runs > 0
                ? { status: ended.aborted ? 504 : 502, reason }
                : { status: 503, reason, retryAfterMs: CUT_OFF_RETRY_MS },
        ),
    });
    if (options.relayed !== undefined) {
        return refuse("cut_off");
    }
    const { admission } = admitted;
    const result = await relay.send({
        requestId: admitted.head.requestId,
        service,
        hosts,
        method: request.method ?? "GET",
        target: request.url ?? "/",
        rawHeaders: request.rawHeaders,
        body,
        accountId: admitted.account?.accountId,
        spareWaitMs: admission.kind === "spare" ? admission.waitMs : undefined,
        isFirstSend: !context.isSendRecorded,
        softwareVersion: context.softwareVersion,
        lastEventId: context.lastEventId,
        dueAtMs: admitted.dueAtMs,
        signal: ended,
    });
    return match(result)
        .returnType<Promise<RelayOutcome | undefined>>()
        .with(
            { kind: "not-run" },
            async ({ reason }) =>
                (!isCutOff || relay.hasLiveConnections(service)) && !ended.aborted
                    ? undefined
                    : refuse(`cut_off: ${reason}`),
        )
        .with({ kind: "refused" }, async ({ status, reason, retryAfterMs, hasRun }) => {
            context.runs += hasRun ? 1 : 0;
            return clientResponse.isStarted() || context.runs > 0
                ? refuse(reason)
                : { kind: "final", result: Err({ status: status as Refusal["status"], reason, retryAfterMs }) };
        })
        .with({ kind: "unknown" }, async ({ reason }) => {
            context.runs++;
            return repeat(`relay: ${reason}`);
        })
        .with({ kind: "answered" }, async answer => {
            context.runs++;
            return deliver(context, relay, answer);
        })
        .exhaustive();
};
