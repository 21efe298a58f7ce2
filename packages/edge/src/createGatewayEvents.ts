import type { AccountId } from "@ibislanding/core";
import type { GatewayEvents } from "@ibislanding/gateway";
import { parseFeatureId } from "@ibislanding/quarantine";
import { describeError, type EventLog, type MetricsRegistry } from "@ibislanding/runtime";
import { sizeClass } from "./sizeClass";

/** Logged length of prompt parts, which clients choose. */
const MAXIMUM_PARTS_LENGTH = 200;

const round = (value: number | undefined): number | undefined => value === undefined ? undefined : Math.round(value);

/**
 * Creates the event handlers that log, measure and count requests; `onStatement` is called when an upstream has stated
 * that it is leaving, another limit or brittleness, or a brittle one has rejected a request, which the peers must know.
 */
export const createGatewayEvents = (
    log: EventLog,
    metrics: MetricsRegistry,
    addUsage: (accountId: AccountId) => void,
    onStatement: () => void,
): GatewayEvents => {
    const requests = metrics.counter("ibis_requests_total", "Callers' requests by service, outcome and status.");
    const generations = metrics.counter(
        "ibis_generations_total",
        "Requests with token counts by service, outcome, status, and classes of prompt tokens and of events received.",
    );
    const durations = metrics.distribution("ibis_request_duration_ms", "Time to the end of the answer.");
    const firstBytes = metrics.distribution("ibis_first_byte_ms", "Time to the first byte of the answer.");
    const sends = metrics.counter("ibis_upstream_sends_total", "Sends to upstreams by outcome.");
    const moves = metrics.counter("ibis_run_moves_total", "Runs moved to other engines by cause and outcome.");

    const silentStreams = metrics.counter(
        "ibis_silent_streams_total",
        "Streams that went on elsewhere after their engine had fallen silent.",
    );
    const errors = metrics.counter("ibis_request_errors_total", "Requests that failed because something threw.");
    const rejections = metrics.counter("ibis_brittle_rejections_total", "Rejections by brittle upstreams.");

    return {
        onProcessingStarted: accountId => {
            if (accountId !== undefined) {
                addUsage(accountId);
            }
        },
        onAttemptEnded: (
            { predictedMs, durationMs, sendsLeftMs, sharedPartIds, headMs, requestFeature, ...attempt },
        ) => {
            sends.add(1, { outcome: attempt.outcome });
            if (attempt.outcome === "done") {
                return;
            }
            log.write("attempt_failed", {
                ...attempt,
                predictedMs: round(predictedMs),
                durationMs: round(durationMs),
                sendsLeftMs: round(sendsLeftMs),
                headMs: round(headMs),
                fingerprint: requestFeature === undefined ? undefined : parseFeatureId(requestFeature)?.value,
                sharedParts: sharedPartIds.length === 0
                    ? undefined
                    : sharedPartIds.join(" ").slice(0, MAXIMUM_PARTS_LENGTH),
            });
        },
        onRunMoved: move => {
            moves.add(1, { outcome: move.outcome, cause: move.cause });
            log.write("run_moved", move);
        },
        onStreamSilent: ({ silentMs, longestGapMs, ...stream }) => {
            silentStreams.add(1, {});
            log.write("stream_silent", {
                ...stream,
                silentMs: Math.round(silentMs),
                longestGapMs: Math.round(longestGapMs),
            });
        },
        onUpstreamLeaving: notice => {
            log.write("upstream_leaving", { ...notice, source: "answer" });
            onStatement();
        },
        onUpstreamPaused: pause => log.write("upstream_paused", pause),
        onUpstreamLimited: limit => {
            log.write("upstream_limited", { ...limit, source: "answer" });
            onStatement();
        },
        onUpstreamBrittle: statement => {
            log.write("upstream_brittle", { ...statement, source: "answer" });
            onStatement();
        },
        onBrittleRejection: rejection => {
            rejections.add(1, {});
            log.write("brittle_rejection", rejection);
            onStatement();
        },
        onInvalidHeaders: ({ upstreamId, headers }) =>
            log.write("upstream_headers_invalid", { upstreamId, headers: headers.join("; ") }),
        onRequestError: ({ requestId, error }) => {
            errors.add(1, {});
            log.write("request_error", { requestId, ...describeError(error) });
        },
        onRequestEnded: (
            { firstByteMs, durationMs, predictedMs, backlogMs, promptMs, delayFactor, quarantinedFeature, ...request },
        ) => {
            const service = request.service ?? "none";
            requests.add(1, { service, outcome: request.outcome, status: String(request.status) });
            if (request.promptTokens !== undefined) {
                generations.add(1, {
                    service,
                    outcome: request.outcome,
                    status: String(request.status),
                    promptTokens: sizeClass(request.promptTokens),
                    events: sizeClass(request.events),
                });
            }
            durations.record(durationMs, { service });
            if (firstByteMs !== undefined) {
                firstBytes.record(firstByteMs, { service });
            }
            const quarantined = quarantinedFeature === undefined ? undefined : parseFeatureId(quarantinedFeature);
            log.write("request_ended", {
                ...request,
                quarantinedPart: quarantined?.kind === "part" ? quarantined.value : undefined,
                fingerprint: quarantined?.kind === "request" ? quarantined.value : undefined,
                delayFactor: delayFactor === undefined ? undefined : Number(delayFactor.toFixed(2)),
                predictedMs: round(predictedMs),
                backlogMs: round(backlogMs),
                promptMs: round(promptMs),
                firstByteMs: round(firstByteMs),
                durationMs: round(durationMs),
            });
        },
    };
};
