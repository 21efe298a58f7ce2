import type { FeatureId } from "@ibislanding/quarantine";
import { match } from "ts-pattern";
import { sharedPartIds } from "../codec/sharedPartIds";
import type { Continuation } from "../engines/continuation";
import type { EvacuationResult } from "../engines/evacuationResult";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { ANY_VERSION } from "../versions/anyVersion";
import type { VersionRun } from "../versions/versionRun";
import type { VersionRunOutcome } from "../versions/versionRunOutcome";
import type { AttemptOutcome } from "./attemptOutcome";
import { discardBody } from "./discardBody";
import { filterHeaders } from "./filterHeaders";
import type { ForwardContext } from "./forwardContext";
import { isEventStream } from "./isEventStream";
import { observeResponseHead } from "./observeResponseHead";
import { placeRequest } from "./placeRequest";
import { recordServed } from "./recordServed";
import { relayResponse } from "./relayResponse";
import { startAttempt } from "./startAttempt";
import { toPlacementRequest } from "./toPlacementRequest";
import type { UpstreamResponse } from "./upstreamResponse";
import { watchMoves } from "./watchMoves";
import { watchSilence } from "./watchSilence";

/** State of one attempt at an upstream. */
interface Attempt {
    readonly context: ForwardContext;
    readonly upstream: UpstreamRecord;
    readonly startedAtMs: number;
    readonly onFirstEvent: () => void;
    readonly onEvents: (events: number, isDelayed: boolean) => void;
    /** Undefined if versions are not rolled out. */
    readonly versionRun: VersionRun | undefined;
    /** Undefined until the head of the response. */
    headAtMs: number | undefined;
    /** Undefined until the first byte of the body. */
    firstByteAtMs: number | undefined;
    /** Whether the upstream may not know that its stream was given up. */
    isBrokenOff: boolean;
}

/** An answer that is lost within this time after its head may be due to a prompt part that crashes upstreams. */
const CRASH_SUSPICION_MS = 500;

/** An answer that has gone on for this long shows that its prompt does not crash upstreams. */
const CLEARING_MS = 1_000;

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Removed from streams: the events of several runs need not add up to the length that the first one stated. */
const STREAM_LENGTH: ReadonlySet<string> = new Set(["content-length"]);

const NOT_MOVED: EvacuationResult = { kind: "not-moved" };

/** Lowest status that counts as a failure of the upstream. */
const FAILURE_STATUS = 500;

const FIRST_UNSUCCESSFUL_STATUS = 300;

const headersFor = (
    { options, admitted, body, forwardedHeaders, engine, lastEventId }: ForwardContext,
    upstream: UpstreamRecord,
    deadlineMs: number,
    continuation: Continuation | undefined,
): readonly (readonly [string, string])[] => {
    const own = options.codec.upstreamRequestHeaders({
        upstreamId: upstream.upstreamId,
        deadlineMs,
        accountId: admitted.account?.accountId,
        urgency: engine === undefined ? undefined : admitted.account?.priority ?? admitted.route.priority,
        lastEventId,
        handle: continuation?.handle,
    });
    // The client's position in the stream is replaced by that of a later event.
    const replaced = new Set(own.map(([name]) => name.toLowerCase()));
    const hasBody = body.length > 0 || options.request.method === "POST";
    return [
        ...forwardedHeaders.filter(([name]) => !replaced.has(name.toLowerCase())),
        ...own,
        ...(hasBody ? [["Content-Length", String(body.length)] as const] : []),
    ];
};

const reportStart = (context: ForwardContext): void => {
    if (!context.isStartReported) {
        context.isStartReported = true;
        context.options.events.onProcessingStarted(context.admitted.account?.accountId);
    }
};

const reportError = ({ options, admitted }: ForwardContext, error: unknown): void =>
    options.events.onRequestError({ requestId: admitted.head.requestId, error });

/** Reports a failure of the upstream unless the attempt was aborted by the gateway. */
const reportFailure = ({ context, upstream }: Attempt, kind: "unreachable" | "failed"): void => {
    if (!context.ended.aborted) {
        context.options.upstreams.reportFailure(upstream.upstreamId, kind);
    }
};

/** Records how the run ended, unless the attempt was aborted by the gateway. */
const endVersionRun = ({ context, versionRun }: Attempt, outcome: VersionRunOutcome): void =>
    versionRun?.end(context.ended.aborted && outcome !== "answered" ? "aborted" : outcome);

/** Time at which the answer began, on the clock that the hosts share. */
const answerBeganAtMs = ({ context, headAtMs }: Attempt): number => {
    const { clock, sharedNowMs } = context.options;
    return sharedNowMs() - (clock.monotonicMs() - (headAtMs ?? clock.monotonicMs()));
};

/** Records that the answer has gone on, which clears features of its request. */
const clearFeatures = (attempt: Attempt, featureIds: readonly FeatureId[]): void =>
    attempt.context.options.quarantine.clear(featureIds, answerBeganAtMs(attempt));

/**
 * Records that the answer was lost; returns the features that may have crashed the upstream. An answer that has gone on for
 * a while has cleared the parts of its prompt, but the request itself only once it is complete.
 */
const recordLoss = ({ context, upstream, startedAtMs, headAtMs }: Attempt): readonly FeatureId[] => {
    const { ended, features, options } = context;
    if (ended.aborted) {
        return [];
    }
    const runMs = options.clock.monotonicMs() - (headAtMs ?? startedAtMs);
    const hasJustBegun = headAtMs === undefined || runMs <= CRASH_SUSPICION_MS;
    const featureIds = hasJustBegun ? features.all() : [features.request()];
    options.crashes.recordLoss(upstream, { featureIds, runMs, hasBegun: headAtMs !== undefined });
    context.lostRuns += hasJustBegun ? 1 : 0;
    // Whatever waits for its answer is lost in a crash; its parts are no reason not to send it again.
    return headAtMs === undefined ? [features.request()] : featureIds;
};

/** Whether placement would currently select another upstream for the request. */
const hasAlternative = (context: ForwardContext, upstream: UpstreamRecord): boolean =>
    placeRequest(context, upstream).kind === "send";

/**
 * Whether a stream can go on after the given event at another upstream of the version that began it; charges the retry budget if
 * so.
 */
const acquireContinuation = (
    context: ForwardContext,
    upstream: UpstreamRecord,
    lastEventId: string | undefined,
): boolean => {
    const { options, admitted } = context;
    const { route, service } = admitted;
    if (!context.mayRepeat || context.runs >= route.maximumAttempts) {
        return false;
    }
    if (options.clientResponse.isStarted()) {
        if ((lastEventId ?? context.lastEventId) === undefined) {
            return false;
        }
        context.softwareVersion ??= upstream.softwareVersion;
    }
    return hasAlternative(context, upstream) && options.retryBudget.tryAcquire(service);
};

const relay = async (attempt: Attempt, response: UpstreamResponse): Promise<AttemptOutcome> => {
    const { context, upstream } = attempt;
    const { options, admitted, engine, progress, ended } = context;
    const { route } = admitted;
    const headAtMs = options.clock.monotonicMs();
    const isStream = route.kind === "stream" && response.head.status < FIRST_UNSUCCESSFUL_STATUS;
    if (!isStream) {
        reportStart(context);
    }
    options.relayed?.onAnswer(upstream.softwareVersion);
    options.clientResponse.setHead(
        response.head.status,
        filterHeaders(response.body.rawHeaders, isStream ? STREAM_LENGTH : NO_HEADERS),
    );
    const hasEvents = isStream && isEventStream(response.body);
    const canMove = hasEvents && engine?.supportsMoves === true;
    const moves = canMove ? watchMoves(context, upstream, () => response.body.isPaused()) : undefined;
    const isSuccess = response.head.status < FIRST_UNSUCCESSFUL_STATUS;
    const clearing = isSuccess
        ? options.clock.setTimer(CLEARING_MS, () => {
            if (attempt.firstByteAtMs !== undefined) {
                clearFeatures(attempt, context.features.parts);
            }
        })
        : undefined;
    let lastEventId: string | undefined;
    const silence = hasEvents
        ? watchSilence(
            context,
            upstream,
            () => response.body.isPaused(),
            () => acquireContinuation(context, upstream, lastEventId),
            response.closeConnection,
        )
        : undefined;
    const delivery = await relayResponse({
        response,
        isStream,
        hasEvents,
        afterEventId: context.lastEventId,
        clientResponse: options.clientResponse,
        memory: options.memory,
        onEvents: (events, isDelayed, eventId) => {
            lastEventId = eventId;
            silence?.recordProgress();
            progress.events += events;
            attempt.onEvents(events, isDelayed);
        },
        onFirstByte: () => {
            attempt.onFirstEvent();
            attempt.firstByteAtMs = options.clock.monotonicMs();
            reportStart(context);
            progress.firstByteAtMs ??= options.clock.monotonicMs();
        },
        onError: error => reportError(context, error),
    });
    const silentMs = silence?.end();
    clearing?.cancel();
    progress.received = delivery.received;
    const complete = (): AttemptOutcome => {
        if (isSuccess) {
            clearFeatures(attempt, context.features.watched());
            options.recentAnswers.record(context.features, answerBeganAtMs(attempt));
        }
        options.clientResponse.end();
        return { kind: "done", status: response.head.status };
    };
    if (delivery.defect === undefined && delivery.received.delimiter !== "connection") {
        const outcome = complete();
        await moves?.end();
        return outcome;
    }
    const move = await moves?.end() ?? NOT_MOVED;
    // An engine that stops a run for a move closes its connection, which also ends a body without length and chunks.
    if (delivery.defect === undefined && move.kind === "not-moved") {
        return complete();
    }
    context.lastEventId = delivery.lastEventId ?? context.lastEventId;
    // Only a stream of events can be continued by another run, after an event that has an id.
    context.mayRepeat &&= !options.clientResponse.isStarted() || hasEvents && context.lastEventId !== undefined;
    if (options.clientResponse.isStarted()) {
        context.softwareVersion ??= upstream.softwareVersion;
    }
    if (move.kind === "moved" && !ended.aborted) {
        return { kind: "moved", reason: "moved", continuation: move.continuation };
    }
    if (move.kind === "stopped" && !ended.aborted) {
        return { kind: "elsewhere", reason: "stopped to be moved, and not copied", isCharged: false };
    }
    reportFailure(attempt, "failed");
    if (silentMs !== undefined && !ended.aborted) {
        // The run may still go on at the engine, so its loss says nothing about a crash.
        endVersionRun(attempt, "failed");
        attempt.isBrokenOff = true;
        return { kind: "elsewhere", reason: `silent for ${Math.round(silentMs)} ms`, isCharged: true };
    }
    attempt.isBrokenOff = delivery.isBrokenOff;
    endVersionRun(attempt, delivery.isBrokenOff ? "failed" : "lost");
    const suspectedIds = delivery.isBrokenOff ? [] : recordLoss(attempt);
    const deliveredMs = Math.round(options.clock.monotonicMs() - headAtMs);
    return {
        kind: "repeat",
        reason: `${delivery.defect ?? "ended-during-move"} after ${deliveredMs} ms`,
        suspectedIds,
    };
};

/**
 * Returns the time that placement compares with the objective: to the first event of a stream, or to the end of a plain
 * response. Undefined for engines, whose times are estimated from their prompts.
 */
const responseMsOf = ({ context, startedAtMs, firstByteAtMs }: Attempt): number | undefined => {
    const { engine, admitted, options } = context;
    if (engine !== undefined) {
        return undefined;
    }
    const endedAtMs = options.clock.monotonicMs();
    return (admitted.route.kind === "stream" ? firstByteAtMs ?? endedAtMs : endedAtMs) - startedAtMs;
};

const handleResponse = async (attempt: Attempt, response: UpstreamResponse): Promise<AttemptOutcome> => {
    const { context, upstream } = attempt;
    const { options, admitted } = context;
    const { status } = response.head;
    const continues = status < FIRST_UNSUCCESSFUL_STATUS && isEventStream(response.body);
    if (options.clientResponse.isStarted() && !continues) {
        // Part of the stream was already sent under another head; another body must not become part of the stream.
        reportFailure(attempt, "failed");
        endVersionRun(attempt, "failed");
        discardBody(response.body, response.closeConnection, () => void recordLoss(attempt));
        return { kind: "repeat", reason: `status ${status} in the middle of a stream`, suspectedIds: [] };
    }
    if (status < FAILURE_STATUS) {
        const outcome = await relay(attempt, response);
        if (outcome.kind === "done") {
            options.upstreams.reportSuccess(upstream.upstreamId, responseMsOf(attempt));
        }
        return outcome;
    }
    options.upstreams.reportFailure(upstream.upstreamId, "failed");
    endVersionRun(attempt, "failed");
    // An error response is retried at another upstream if possible; the client receives the last one.
    const { route, service } = admitted;
    const mayRunAgain = context.mayRepeat && context.runs < route.maximumAttempts;
    if (mayRunAgain && hasAlternative(context, upstream) && options.retryBudget.tryAcquire(service)) {
        discardBody(response.body, response.closeConnection, () => void recordLoss(attempt));
        reportStart(context);
        return { kind: "elsewhere", reason: `status ${status}`, isCharged: true };
    }
    return relay(attempt, response);
};

/**
 * Makes the version that is about to begin a stream known to other hosts, if there is more than one. A stream that goes on is
 * recorded again, as hosts that knew it may be gone.
 */
const recordOrigin = async (
    { options, admitted, softwareVersion, progress }: ForwardContext,
    upstream: UpstreamRecord,
): Promise<void> => {
    const { head, route, service, account } = admitted;
    const requestId = softwareVersion === undefined ? head.requestId : head.resumedRequestId ?? head.requestId;
    if (requestId === undefined || !route.isResumable || options.upstreams.versionsOf(service).length < 2) {
        return;
    }
    await options.streamOrigins.record({
        requestId,
        accountId: account?.accountId,
        service,
        softwareVersion: upstream.softwareVersion,
        attempt: progress.attempts,
    });
};

/** Sends a request to one upstream and relays the response to the client. */
export const sendToUpstream = async (
    context: ForwardContext,
    upstream: UpstreamRecord,
    predictedMs: number,
    continuation: Continuation | undefined,
): Promise<AttemptOutcome> => {
    const { options, admitted, body, ended, progress } = context;
    const { clock, codec, request, events } = options;
    const startedAtMs = clock.monotonicMs();
    const idleMs = progress.placement?.kind === "send" ? progress.placement.idleMs : predictedMs;
    const deadlineMs = admitted.dueAtMs - startedAtMs;
    const load = options.upstreams.trackRequest(
        upstream.upstreamId,
        toPlacementRequest(context, continuation !== undefined, ANY_VERSION),
    );
    context.versionRule = undefined;
    const versionRun = options.versions?.trackRun({
        upstream,
        route: admitted.route.name,
        isStream: admitted.route.kind === "stream",
        objectiveMs: admitted.route.objectiveMs,
        typicalMs: load.typicalMs,
    });
    const attempt: Attempt = {
        context,
        upstream,
        startedAtMs,
        onFirstEvent: () => {
            load.recordFirstEvent();
            recordServed(context, clock.monotonicMs() - startedAtMs - idleMs);
            versionRun?.recordFirstEvent();
        },
        onEvents: load.recordEvents,
        versionRun,
        headAtMs: undefined,
        firstByteAtMs: undefined,
        isBrokenOff: false,
    };
    const countRun = (): void => {
        context.runs += continuation === undefined ? 1 : 0;
    };
    const recorded = recordOrigin(context, upstream);
    const watch = options.relay?.watchSend({
        service: admitted.service,
        upstreamId: upstream.upstreamId,
        mayRepeat: context.mayRepeat,
        objectiveMs: admitted.route.objectiveMs,
        remainingMs: deadlineMs,
        signal: ended,
    });
    const result = await startAttempt({
        connections: options.pool.connectionsOf(upstream),
        codec,
        requestId: admitted.head.requestId,
        kind: admitted.route.kind,
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: headersFor(context, upstream, deadlineMs, continuation),
        body,
        onHead: head => {
            attempt.headAtMs = clock.monotonicMs();
            observeResponseHead(options, upstream, head);
        },
        onProgress: watch?.recordProgress,
        onError: error => reportError(context, error),
        signal: watch?.signal ?? ended,
    });
    const outcome = await match(result)
        .returnType<Promise<AttemptOutcome>>()
        .with({ kind: "unsent" }, async ({ reason }) => {
            versionRun?.end("not-run");
            reportFailure(attempt, "unreachable");
            return { kind: "elsewhere", reason, isCharged: false };
        })
        .with({ kind: "not-run" }, async ({ reason }) => {
            versionRun?.end("not-run");
            return { kind: "elsewhere", reason, isCharged: false };
        })
        .with({ kind: "unknown" }, async ({ reason, isLost }) => {
            countRun();
            endVersionRun(attempt, isLost ? "lost" : "failed");
            reportFailure(attempt, "failed");
            return { kind: "repeat", reason, suspectedIds: isLost ? recordLoss(attempt) : [] };
        })
        .with({ kind: "answered" }, async ({ response }) => {
            countRun();
            // A client may take the stream up elsewhere as soon as it has the first event.
            await recorded;
            try {
                return await handleResponse(attempt, response);
            }
            catch (error) {
                reportError(context, error);
                response.closeConnection();
                endVersionRun(attempt, "failed");
                return { kind: "repeat", reason: "internal-error", suspectedIds: [] };
            }
        })
        .exhaustive();
    watch?.end();
    load.end(ended.aborted || attempt.isBrokenOff || result.kind === "unknown");
    endVersionRun(attempt, outcome.kind === "done" ? "answered" : "not-run");
    if (outcome.kind === "done") {
        // An answer without a body has no first event.
        recordServed(context, (attempt.headAtMs ?? startedAtMs) - startedAtMs - idleMs);
    }
    events.onAttemptEnded({
        requestId: admitted.head.requestId,
        upstreamId: upstream.upstreamId,
        softwareVersion: upstream.softwareVersion,
        attempt: progress.attempts,
        outcome: outcome.kind,
        reason: outcome.kind === "done" ? "complete" : outcome.reason,
        status: outcome.kind === "done" ? outcome.status : 0,
        predictedMs,
        durationMs: clock.monotonicMs() - startedAtMs,
        sendsLeftMs: deadlineMs,
        sharedPartIds: sharedPartIds(admitted.head.promptParts),
        headMs: attempt.headAtMs === undefined ? undefined : attempt.headAtMs - startedAtMs,
        requestFeature: outcome.kind === "repeat" ? context.features.request() : undefined,
    });
    return outcome;
};
