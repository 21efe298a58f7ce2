import type { UpstreamId } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { Continuation } from "../engines/continuation";
import { evacuateRun } from "../engines/evacuateRun";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementDecision } from "../placement/placementDecision";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { AdmittedRequest } from "./admittedRequest";
import type { AttemptResult } from "./attemptResult";
import { deliverAnswer } from "./deliverAnswer";
import { filterHeaders } from "./filterHeaders";
import type { Refusal } from "./refusal";
import type { RequestProgress } from "./requestProgress";
import type { ServeOptions } from "./serveOptions";
import { startAttempt } from "./startAttempt";

/** Content headers that are set anew, as the body was read whole. */
const BODY_HEADERS: ReadonlySet<string> = new Set(["content-length", "expect"]);

const NO_HEADERS: ReadonlySet<string> = new Set();

/** Retry hint after upstreams refused a request. */
const REFUSED_RETRY_MS = 200;

/** Answers from this status on count against an upstream's health. */
const FAILURE_STATUS = 500;

/** What became of one send. */
type AttemptOutcome =
    | { readonly kind: "done"; readonly status: number; }
    /** Not run; another upstream may get the request. */
    | { readonly kind: "elsewhere"; readonly reason: string; }
    /** Stopped on purpose; the run goes on elsewhere. */
    | { readonly kind: "moved"; readonly reason: string; readonly continuation: Continuation; }
    /** May have run; another upstream may get the request only if it may be repeated. */
    | { readonly kind: "repeat"; readonly reason: string; };

/** Sends a request to upstreams until one answers; returns the status, or the failure for the caller. */
export const forwardRequest = async (
    options: ServeOptions,
    admitted: AdmittedRequest,
    body: Buffer,
    ended: AbortSignal,
    progress: RequestProgress,
): Promise<Result<number, Refusal>> => {
    const { clock, codec, upstreams, retries, caller, events, request } = options;
    const { head, route, account, service, admission } = admitted;
    const engine = admitted.configuration.servicesByName.get(service)?.engine;
    const isEngine = engine !== undefined;
    const canMove = engine?.supportsMoves === true && route.kind === "stream" && head.requestId !== undefined;
    const mayRepeat = route.kind === "repeatable" || route.isResumable;
    const excluded = new Set<UpstreamId>();
    const dropped = new Set([...codec.reservedRequestHeaders, ...BODY_HEADERS]);
    const forwarded = filterHeaders(request.rawHeaders, dropped);
    let lastEventId: string | undefined;
    let runs = 0;
    let hasBegun = false;

    /** A moved run is the same run. */
    const countRun = (continuation: Continuation | undefined): void => {
        runs += continuation === undefined ? 1 : 0;
    };

    const noteBegun = (): void => {
        if (!hasBegun) {
            hasBegun = true;
            events.onBegan(account?.accountId);
        }
    };

    const placementRequest = (): PlacementRequest => ({
        promptTokens: head.tokens?.prompt ?? 0,
        promptParts: head.promptParts,
        objectiveMs: route.objectiveMs,
        isSpare: admission.kind === "spare",
        remainingMs: admitted.dueAtMs - clock.monotonicMs(),
        excluded,
    });

    /** A moved run brings its memory and waits behind no prompt. */
    const continuationRequest = (): PlacementRequest => ({ ...placementRequest(), promptTokens: 0, promptParts: [] });

    const headersFor = (
        upstream: UpstreamRecord,
        deadlineMs: number,
        continuation: Continuation | undefined,
    ): readonly (readonly [string, string])[] => [
        ...forwarded,
        ...codec.sendHeaders({
            upstreamId: upstream.upstreamId,
            deadlineMs,
            accountId: account?.accountId,
            urgency: isEngine ? account?.priority ?? route.priority : undefined,
            lastEventId,
            handle: continuation?.handle,
        }),
        ...(body.length > 0 || request.method === "POST"
            ? [["Content-Length", String(body.length)] as const]
            : []),
    ];

    /** Moves the run when its upstream begins to leave; `end` returns where it goes on, if it was stopped. */
    const watchEvacuation = (upstream: UpstreamRecord, isStream: boolean) => {
        const { engines } = options;
        const { requestId } = head;
        const delivered = new AbortController();
        let evacuating: Promise<Continuation | undefined> | undefined;
        if (engines === undefined || requestId === undefined || !canMove || !isStream) {
            return { end: async () => undefined };
        }
        const evacuate = (): void => {
            evacuating ??= evacuateRun({
                clock,
                engines,
                upstreams,
                upstream,
                requestId,
                placementRequest: () => ({
                    ...continuationRequest(),
                    excluded: new Set([...excluded, upstream.upstreamId]),
                }),
                signal: AbortSignal.any([delivered.signal, ended]),
                onMove: (target, outcome) =>
                    events.onRunMoved({
                        requestId,
                        upstreamId: upstream.upstreamId,
                        target: target.upstreamId,
                        outcome,
                    }),
            });
        };
        const unsubscribe = upstreams.whenGoing(upstream.upstreamId, evacuate);
        if (upstreams.isGoing(upstream)) {
            evacuate();
        }
        return {
            end: async () => {
                unsubscribe();
                delivered.abort();
                return evacuating;
            },
        };
    };

    const deliver = async (
        upstream: UpstreamRecord,
        result: AttemptResult & { readonly kind: "answered"; },
        firstEvent: () => void,
    ): Promise<AttemptOutcome> => {
        const { answer } = result;
        const sentAtMs = clock.monotonicMs();
        const isStream = route.kind === "stream" && answer.head.status < 300;
        if (!isStream) {
            noteBegun();
        }
        caller.setHead(answer.head.status, filterHeaders(answer.body.rawHeaders, NO_HEADERS));
        const evacuation = watchEvacuation(upstream, isStream);
        const delivery = await deliverAnswer({
            answer,
            isStream,
            splitsEvents: isStream && (route.isResumable || canMove),
            caller,
            onFirstByte: () => {
                firstEvent();
                noteBegun();
                progress.firstByteAtMs ??= clock.monotonicMs();
            },
        });
        const continuation = await evacuation.end();
        if (delivery.kind === "complete") {
            return { kind: "done", status: answer.head.status };
        }
        lastEventId = delivery.lastEventId ?? lastEventId;
        if (continuation !== undefined && !ended.aborted) {
            return { kind: "moved", reason: "moved", continuation };
        }
        if (!ended.aborted) {
            upstreams.reportFailure(upstream.upstreamId, "failed");
        }
        return { kind: "repeat", reason: `${delivery.reason} after ${Math.round(clock.monotonicMs() - sentAtMs)} ms` };
    };

    const judgeAnswer = async (
        upstream: UpstreamRecord,
        result: AttemptResult & { readonly kind: "answered"; },
        startedAtMs: number,
        firstEvent: () => void,
    ): Promise<AttemptOutcome> => {
        const { status } = result.answer.head;
        if (status < FAILURE_STATUS) {
            const outcome = await deliver(upstream, result, firstEvent);
            if (outcome.kind === "done") {
                upstreams.reportSuccess(
                    upstream.upstreamId,
                    isEngine ? undefined : clock.monotonicMs() - startedAtMs,
                );
            }
            return outcome;
        }
        upstreams.reportFailure(upstream.upstreamId, "failed");
        // The last answer is the caller's; an earlier one is replaced by that of another upstream.
        if (route.kind === "repeatable" && runs < route.maximumAttempts && retries.spend(service)) {
            result.answer.body.resume();
            noteBegun();
            return { kind: "elsewhere", reason: `status ${status}` };
        }
        return deliver(upstream, result, firstEvent);
    };

    const attempt = async (
        upstream: UpstreamRecord,
        predictedMs: number,
        continuation: Continuation | undefined,
    ): Promise<AttemptOutcome> => {
        const startedAtMs = clock.monotonicMs();
        const deadlineMs = admitted.dueAtMs - startedAtMs;
        const load = upstreams.begin(
            upstream.upstreamId,
            continuation === undefined ? placementRequest() : continuationRequest(),
        );
        const result = await startAttempt({
            connections: options.pool.connectionsOf(upstream),
            codec,
            requestId: head.requestId,
            kind: route.kind,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: headersFor(upstream, deadlineMs, continuation),
            body,
            signal: ended,
        });
        const outcome = await match(result)
            .with({ kind: "unsent" }, async ({ reason }): Promise<AttemptOutcome> => {
                if (!ended.aborted) {
                    upstreams.reportFailure(upstream.upstreamId, "unreachable");
                }
                return { kind: "elsewhere", reason };
            })
            .with({ kind: "not-run" }, async ({ reason }): Promise<AttemptOutcome> => ({ kind: "elsewhere", reason }))
            .with({ kind: "unknown" }, async ({ reason }): Promise<AttemptOutcome> => {
                countRun(continuation);
                if (!ended.aborted) {
                    upstreams.reportFailure(upstream.upstreamId, "failed");
                }
                return { kind: "repeat", reason };
            })
            .with({ kind: "answered" }, async (answered): Promise<AttemptOutcome> => {
                countRun(continuation);
                return judgeAnswer(upstream, answered, startedAtMs, load.firstEvent);
            })
            .exhaustive();
        load.end();
        events.onAttemptEnded({
            requestId: head.requestId,
            upstreamId: upstream.upstreamId,
            attempt: progress.attempts,
            outcome: outcome.kind,
            reason: outcome.kind === "done" ? "complete" : outcome.reason,
            status: outcome.kind === "done" ? outcome.status : 0,
            predictedMs,
            durationMs: clock.monotonicMs() - startedAtMs,
            sendsLeftMs: deadlineMs,
        });
        return outcome;
    };

    /** The failure to report when no further send is made. */
    const failureAfter = (reason: string, retryAfterMs: number): Refusal => {
        if (runs === 0) {
            return admission.kind === "spare"
                ? { status: 429, reason: "over_limit", retryAfterMs: admission.waitMs }
                : { status: 503, reason, retryAfterMs };
        }
        return ended.aborted ? { status: 504, reason: "deadline_passed" } : { status: 502, reason };
    };

    /** Whether the request may go to another upstream after this outcome. */
    const mayGoOn = (outcome: Exclude<AttemptOutcome, { readonly kind: "done"; }>): boolean => {
        const isAllowed = match(outcome.kind)
            .with("moved", () => true)
            .with("elsewhere", () => runs === 0 || mayRepeat)
            .with("repeat", () => mayRepeat && runs < route.maximumAttempts)
            .exhaustive();
        const isPaid = outcome.reason.startsWith("status");
        return !ended.aborted && isAllowed && (isPaid || retries.spend(service));
    };

    retries.countRequest(service);
    let failure: Refusal | undefined;
    let continuation: Continuation | undefined;
    while (failure === undefined) {
        const decision: PlacementDecision = continuation === undefined
            ? chooseUpstream(upstreams.candidates(service, placementRequest()), placementRequest())
            : { kind: "send", upstream: continuation.upstream, predictedMs: 0, backlogMs: 0, promptMs: 0, running: 0 };
        progress.placement = decision;
        if (decision.kind === "refuse") {
            failure = failureAfter(decision.reason, decision.retryAfterMs);
            break;
        }
        progress.attempts++;
        const outcome = await attempt(decision.upstream, decision.predictedMs, continuation);
        if (outcome.kind === "done") {
            return Ok(outcome.status);
        }
        excluded.add(decision.upstream.upstreamId);
        continuation = outcome.kind === "moved" ? outcome.continuation : undefined;
        if (!mayGoOn(outcome)) {
            failure = failureAfter(outcome.reason, REFUSED_RETRY_MS);
        }
    }
    if (runs === 0 && account !== undefined) {
        options.accounts.giveBack(account.accountId, admitted.units, admission);
    }
    return Err(failure ?? { status: 502, reason: "failed" });
};
