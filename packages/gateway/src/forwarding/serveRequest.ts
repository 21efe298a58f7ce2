import { createFeatureId } from "@ibislanding/quarantine";
import { Err, Ok, type Result } from "ts-results";
import { createRequestFeatures } from "../codec/createRequestFeatures";
import type { RequestHead } from "../codec/requestHead";
import { sharedPartIds } from "../codec/sharedPartIds";
import type { AccountAdmission } from "../limits/accountAdmission";
import { findBinding } from "../streams/findBinding";
import type { StreamBinding } from "../streams/streamBinding";
import type { AdmittedRequest } from "./admittedRequest";
import { createForwardContext } from "./createForwardContext";
import { findQuarantinedFeature } from "./findQuarantinedFeature";
import { forwardRequest } from "./forwardRequest";
import type { IdentifiedRequest } from "./identifiedRequest";
import { identifyRequest } from "./identifyRequest";
import { readRequestBody } from "./readRequestBody";
import type { Refusal } from "./refusal";
import type { RequestProgress } from "./requestProgress";
import type { ServeOptions } from "./serveOptions";
import { settleClosedConnections } from "./settleClosedConnections";
import { stoppingRefusal } from "./stoppingRefusal";

/** Maximum relative jitter of `Retry-After`, so that clients refused at the same time do not retry at the same time. */
const RETRY_JITTER = 0.5;

/** Maximum time that a request waits for a newly started process to receive configuration and upstreams. */
const INITIALIZATION_WAIT_MS = 300;
const INITIALIZATION_POLL_MS = 10;

/** `Retry-After` of a relayed request whose account differs here: another configuration is in force for a moment. */
const RELAY_RETRY_MS = 300;

/** Delay of the event loop from which on clients may have left before their requests were read. */
const DELAYED_LOOP_MS = 200;

const ENTITLED: AccountAdmission = { kind: "entitled" };

/** Logged outcome by status for requests that were refused without a run; other statuses are logged as failed. */
const OUTCOMES: Readonly<Record<number, string>> = { 429: "refused", 503: "refused" };

const headerBytes = (rawHeaders: readonly string[]): number =>
    rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);

const checkSize = ({ request }: ServeOptions, { configuration }: IdentifiedRequest): Result<void, Refusal> => {
    const { maximumHeaderBytes, maximumBodyBytes } = configuration.source.limits;
    if (headerBytes(request.rawHeaders) > maximumHeaderBytes) {
        return Err({ status: 431, reason: "headers_too_large" });
    }
    return Number(request.headers["content-length"] ?? 0) > maximumBodyBytes
        ? Err({ status: 413, reason: "body_too_large" })
        : Ok(undefined);
};

/** Returns a controller that aborts at the deadline, when the client disconnects, or when a stopping process has to end. */
const watchClient = (options: ServeOptions, dueInMs: number): AbortController => {
    const ended = new AbortController();
    const timer = options.clock.setTimer(dueInMs, () => ended.abort("due"));
    const cancelStop = options.onStopped(() => ended.abort("stopping"));
    options.response.once("close", () => {
        timer.cancel();
        cancelStop();
        if (!options.response.writableFinished) {
            ended.abort("caller-left");
        }
    });
    return ended;
};

const waitUntilInitialized = async (
    { clock, isInitialized }: ServeOptions,
    startedAtMs: number,
): Promise<void> => {
    while (!isInitialized() && clock.monotonicMs() - startedAtMs < INITIALIZATION_WAIT_MS) {
        await clock.sleep(INITIALIZATION_POLL_MS);
    }
};

/** A stream that the client takes up goes on at the service and the version that began it. */
const bindRequest = (
    request: IdentifiedRequest,
    binding: StreamBinding,
    admission: AdmittedRequest["admission"],
): AdmittedRequest => {
    if (binding.kind !== "bound") {
        return { ...request, admission, softwareVersion: undefined };
    }
    const { softwareVersion, service = request.service } = binding;
    return { ...request, service, admission, softwareVersion };
};

/** Admits a request by the limit of its account; one that another host relays was admitted there. */
const admit = (
    { accounts, relayed }: ServeOptions,
    account: IdentifiedRequest["account"],
    units: number,
): AccountAdmission => {
    if (relayed !== undefined) {
        return relayed.spareWaitMs === undefined ? ENTITLED : { kind: "spare", waitMs: relayed.spareWaitMs };
    }
    return account === undefined ? ENTITLED : accounts.admit(account, units);
};

/** Serves one request, from reading its head to the end of its response. */
export const serveRequest = async (options: ServeOptions): Promise<void> => {
    const { clock, clientResponse, events, random, request } = options;
    const arrivedAtMs = clock.monotonicMs();
    const progress: RequestProgress = {
        attempts: 0,
        placement: undefined,
        firstByteAtMs: undefined,
        received: undefined,
        events: 0,
        quarantinedFeature: undefined,
    };
    const head: RequestHead = options.codec.readRequest(request);

    const refuse = (refusal: Refusal): Refusal => {
        const { retryAfterMs } = refusal;
        clientResponse.refuse(
            retryAfterMs === undefined || refusal.isReturnPlanned === true
                ? refusal
                : { ...refusal, retryAfterMs: retryAfterMs * (1 + random.nextFloat() * RETRY_JITTER) },
        );
        return refusal;
    };

    const report = (
        identifiedRequest: IdentifiedRequest | undefined,
        outcome: string,
        reason: string,
        status: number,
    ): void => {
        const { events: receivedEvents, firstByteAtMs, placement, received } = progress;
        const chosen = placement?.kind === "send" ? placement : undefined;
        events.onRequestEnded({
            requestId: head.requestId,
            promptTokens: head.tokens?.prompt,
            maximumOutputTokens: head.tokens?.output,
            events: receivedEvents,
            route: identifiedRequest?.route.name,
            service: identifiedRequest?.service,
            accountId: identifiedRequest?.account?.accountId,
            configurationVersion: identifiedRequest?.configuration.source.version
                ?? options.configuration()?.source.version,
            outcome,
            reason,
            status,
            attempts: progress.attempts,
            bodyDelimiter: received?.delimiter,
            bodyBytes: received?.sizeBytes,
            endsInsideEvent: received?.endsInsideEvent,
            firstByteMs: firstByteAtMs === undefined ? undefined : firstByteAtMs - arrivedAtMs,
            durationMs: clock.monotonicMs() - arrivedAtMs,
            objectiveMs: identifiedRequest?.route.objectiveMs,
            upstreamId: chosen?.upstream.upstreamId,
            softwareVersion: chosen?.upstream.softwareVersion,
            resumedRequestId: head.resumedRequestId,
            predictedMs: chosen?.predictedMs,
            backlogMs: chosen?.backlogMs,
            promptMs: chosen?.promptMs,
            runningAtUpstream: chosen?.running,
            delayFactor: chosen?.delayFactor,
            quarantinedFeature: progress.quarantinedFeature,
            relayedBy: options.relayed?.sender,
        });
    };

    const refuseEarly = (identifiedRequest: IdentifiedRequest | undefined, refusal: Refusal): void => {
        // The rest of the body is read and discarded: closing a connection with unread bytes may lose the response.
        request.resume();
        report(identifiedRequest, "refused", refuse(refusal).reason, refusal.status);
    };

    await waitUntilInitialized(options, arrivedAtMs);
    const identified = options.refusesNewRequests
        ? Err<Refusal>(stoppingRefusal)
        : identifyRequest(head, options.configuration(), arrivedAtMs, random);
    if (identified.err) {
        refuseEarly(undefined, identified.val);
        return;
    }
    const identifiedRequest = options.relayed === undefined
        ? identified.val
        : { ...identified.val, dueAtMs: Math.min(identified.val.dueAtMs, arrivedAtMs + options.relayed.remainingMs) };
    if (options.relayed !== undefined && options.relayed.accountId !== identifiedRequest.account?.accountId) {
        refuseEarly(identifiedRequest, { status: 503, reason: "relay_account_unknown", retryAfterMs: RELAY_RETRY_MS });
        return;
    }
    // Checked before the body is read and the account is charged.
    const partIds = sharedPartIds(head.promptParts);
    const quarantined = findQuarantinedFeature(
        options.quarantine,
        partIds.map(partId => createFeatureId("part", partId)),
        progress,
    );
    if (quarantined !== undefined) {
        refuseEarly(identifiedRequest, quarantined);
        return;
    }
    const sizes = checkSize(options, identifiedRequest);
    if (sizes.err) {
        refuseEarly(identifiedRequest, sizes.val);
        return;
    }
    const ended = watchClient(options, identifiedRequest.dueAtMs - arrivedAtMs);
    const body = await readRequestBody(
        request,
        {
            maximumBytes: identifiedRequest.configuration.source.limits.maximumBodyBytes,
            memory: options.memory,
            parts: options.parts,
        },
        ended.signal,
        options.relayed?.onBodyBytes,
    );
    if (body.err) {
        const refusal = ended.signal.reason === "stopping"
            ? stoppingRefusal
            : body.val ?? { status: 408 as const, reason: "request_incomplete" };
        if (!clientResponse.isEnded()) {
            refuse(refusal);
        }
        report(identifiedRequest, "refused", refusal.reason, refusal.status);
        return;
    }
    if (options.loopDelay.delayMs() >= DELAYED_LOOP_MS) {
        await settleClosedConnections();
        if (ended.signal.reason === "caller-left") {
            report(identifiedRequest, "left", "event_loop_delayed", 504);
            return;
        }
    }
    const { account, units } = identifiedRequest;
    const features = createRequestFeatures(
        {
            accountId: account?.accountId,
            method: head.method,
            host: head.host,
            target: request.url ?? "",
            body: body.val,
        },
        partIds,
        options.quarantine,
    );
    const quarantinedRequest = findQuarantinedFeature(options.quarantine, features.watched(), progress);
    if (quarantinedRequest !== undefined) {
        refuse(quarantinedRequest);
        report(identifiedRequest, "refused", quarantinedRequest.reason, quarantinedRequest.status);
        return;
    }
    const binding = await findBinding(options, identifiedRequest, options.relayed?.softwareVersion);
    if (binding.err) {
        refuse(binding.val);
        report(identifiedRequest, "refused", binding.val.reason, binding.val.status);
        return;
    }
    const admission = admit(options, account, units);
    if (admission.kind === "over") {
        const refusal = refuse({ status: 429, reason: "over_limit", retryAfterMs: admission.waitMs });
        report(identifiedRequest, "refused", refusal.reason, refusal.status);
        return;
    }
    const result = await forwardRequest(
        createForwardContext(
            options,
            bindRequest(identifiedRequest, binding.val, admission),
            body.val,
            ended.signal,
            progress,
            features,
        ),
    );
    if (result.ok) {
        report(identifiedRequest, "answered", "complete", result.val);
        return;
    }
    if (!clientResponse.isEnded()) {
        refuse(result.val);
    }
    const { reason, status } = result.val;
    report(
        identifiedRequest,
        ended.signal.reason === "caller-left" ? "left" : OUTCOMES[status] ?? "failed",
        reason,
        status,
    );
};
