import type { UpstreamId } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import { chooseUpstream } from "../placement/chooseUpstream";
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
    const { head, route, account, service } = admitted;
    const isEngine = admitted.configuration.servicesByName.get(service)?.engine !== undefined;
    const mayRepeat = route.kind === "repeatable" || route.isResumable;
    const excluded = new Set<UpstreamId>();
    const dropped = new Set([...codec.reservedRequestHeaders, ...BODY_HEADERS]);
    const forwarded = filterHeaders(request.rawHeaders, dropped);
    let lastEventId: string | undefined;
    let runs = 0;
    let hasBegun = false;

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
        remainingMs: admitted.dueAtMs - clock.monotonicMs(),
        excluded,
    });

    const headersFor = (upstream: UpstreamRecord, deadlineMs: number): readonly (readonly [string, string])[] => [
        ...forwarded,
        ...codec.sendHeaders({
            upstreamId: upstream.upstreamId,
            deadlineMs,
            accountId: account?.accountId,
            urgency: isEngine ? account?.priority ?? route.priority : undefined,
            lastEventId,
        }),
        ...(body.length > 0 || request.method === "POST"
            ? [["Content-Length", String(body.length)] as const]
            : []),
    ];

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
        const delivery = await deliverAnswer({
            answer,
            isStream,
            isResumable: isStream && route.isResumable,
            caller,
            onFirstByte: () => {
                firstEvent();
                noteBegun();
                progress.firstByteAtMs ??= clock.monotonicMs();
            },
        });
        if (delivery.kind === "complete") {
            return { kind: "done", status: answer.head.status };
        }
        lastEventId = delivery.lastEventId ?? lastEventId;
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

    const attempt = async (upstream: UpstreamRecord, predictedMs: number): Promise<AttemptOutcome> => {
        const startedAtMs = clock.monotonicMs();
        const deadlineMs = admitted.dueAtMs - startedAtMs;
        const load = upstreams.begin(upstream.upstreamId, placementRequest());
        const result = await startAttempt({
            connections: options.pool.connectionsOf(upstream),
            codec,
            requestId: head.requestId,
            kind: route.kind,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: headersFor(upstream, deadlineMs),
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
                runs++;
                if (!ended.aborted) {
                    upstreams.reportFailure(upstream.upstreamId, "failed");
                }
                return { kind: "repeat", reason };
            })
            .with({ kind: "answered" }, async (answered): Promise<AttemptOutcome> => {
                runs++;
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
            return { status: 503, reason, retryAfterMs };
        }
        return ended.aborted ? { status: 504, reason: "deadline_passed" } : { status: 502, reason };
    };

    retries.countRequest(service);
    let failure: Refusal | undefined;
    while (failure === undefined) {
        const decision = chooseUpstream(upstreams.candidates(service, placementRequest()), placementRequest());
        progress.placement = decision;
        if (decision.kind === "refuse") {
            failure = failureAfter(decision.reason, decision.retryAfterMs);
            break;
        }
        progress.attempts++;
        const outcome = await attempt(decision.upstream, decision.predictedMs);
        if (outcome.kind === "done") {
            return Ok(outcome.status);
        }
        excluded.add(decision.upstream.upstreamId);
        const isAllowed = outcome.kind === "elsewhere" || mayRepeat && runs < route.maximumAttempts;
        const paysAgain = !outcome.reason.startsWith("status");
        if (ended.aborted || !isAllowed || paysAgain && !retries.spend(service)) {
            failure = failureAfter(outcome.reason, REFUSED_RETRY_MS);
        }
    }
    if (runs === 0 && account !== undefined) {
        options.accounts.giveBack(account.accountId, admitted.units);
    }
    return Err(failure ?? { status: 502, reason: "failed" });
};
