import { backoffDelayMs, createFailure, ErrorCode, type Failure, type UpstreamId } from "@ibislanding/core";
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { AnswerEvent } from "./answerEvent";
import type { AnswerOptions } from "./answerOptions";
import type { AnswerPorts } from "./answerPorts";
import type { AnswerStrategy } from "./answerStrategy";
import type { AttemptEnd } from "./attemptEnd";
import type { AttemptPlan } from "./attemptPlan";
import { defaultAnswerStrategy } from "./defaultAnswerStrategy";
import { planMove } from "./planMove";
import { runAttempt } from "./runAttempt";
import type { SelectedUpstream } from "./selectedUpstream";

const RETRY_BACKOFF = { initialDelayMs: 50, maximumDelayMs: 1_000 } as const;

/** Failures after which another upstream may succeed. */
const RECOVERABLE_CODES: ReadonlySet<ErrorCode> = new Set([
    ErrorCode.UpstreamLeaving,
    ErrorCode.UpstreamRefused,
    ErrorCode.UpstreamSilent,
    ErrorCode.UpstreamUnreachable,
    ErrorCode.UpstreamInvalidAnswer,
    ErrorCode.UnknownEvent,
]);

/** Whether an attempt ended because its upstream is leaving; continuing elsewhere then needs no retry budget. */
const isMove = (end: AttemptEnd): boolean =>
    end.type === "evacuated" || end.type === "failed" && end.failure.code === ErrorCode.UpstreamLeaving;

const REFUSAL_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.UpstreamLeaving, ErrorCode.UpstreamRefused]);

/** Returns the outcome that the router records for the upstream of an attempt. */
const outcomeOf = (end: AttemptEnd): Parameters<SelectedUpstream["release"]>[0] =>
    match(end)
        .with({ type: "finished" }, () => "finished" as const)
        .with({ type: "evacuated" }, () => "moved" as const)
        .with(
            { type: "failed" },
            ({ failure }) => (REFUSAL_CODES.has(failure.code) ? "refused" as const : "failed" as const),
        )
        .exhaustive();

/** State of one answer across its attempts. */
interface Progress {
    readonly excluded: Set<UpstreamId>;
    /** Whether an upstream has accepted the request, in this stream or in the one that the caller resumes. */
    accepted: boolean;
    /** Number of waits because no upstream was available; sets the backoff delay. */
    selectionRetries: number;
    /** Whether a silent upstream was attached to again, which is done at most once per answer. */
    reattached: boolean;
}

const isReattachable = (end: AttemptEnd): boolean =>
    end.type === "failed" && end.failure.code === ErrorCode.UpstreamSilent;

/**
 * Produces one answer: selects an upstream, reads its stream, and continues on another one when the stream breaks or the
 * upstream leaves. Yields every token once and in order; ends with `finished` or one failure.
 */
export const createAnswerStream = async function*(
    options: AnswerOptions,
    ports: AnswerPorts,
    strategy: AnswerStrategy = defaultAnswerStrategy,
): AsyncGenerator<Result<AnswerEvent, Failure>> {
    const { journal, request } = options;
    const progress: Progress = {
        excluded: new Set(),
        accepted: options.resumeFrom !== undefined,
        selectionRetries: 0,
        reattached: false,
    };

    const isPastDeadline = (): boolean => ports.clock.monotonicMs() >= options.deadlineMs;

    /** Selects an upstream; once the request has been accepted, waits for one until the deadline. */
    const selectWithRetry = async (): Promise<Result<SelectedUpstream, Failure>> => {
        for (;;) {
            const selected = ports.select(progress.excluded, progress.accepted);
            if (selected.ok || !progress.accepted || isPastDeadline() || options.signal.aborted) {
                return selected;
            }
            // No other upstream is left, and those that failed may have recovered.
            progress.excluded.clear();
            await ports.clock.sleep(
                backoffDelayMs(progress.selectionRetries++, RETRY_BACKOFF, ports.random),
                options.signal,
            );
        }
    };

    const planFirstAttempt = async (): Promise<Result<AttemptPlan, Failure>> => {
        const known = options.resumeFrom === undefined ? undefined : ports.find(options.resumeFrom.upstreamId);
        if (known !== undefined) {
            // Starts at the first token, so that the digest of the tokens that the caller has can be checked.
            return Ok({ type: "attach", upstream: known, afterTokens: 0 });
        }
        return (await selectWithRetry()).map(upstream => ({
            type: "generate",
            upstream,
            deliveredTokens: [],
            cacheHandle: undefined,
        }));
    };

    const planNextAttempt = async (end: AttemptEnd, previous: AttemptPlan): Promise<Result<AttemptPlan, Failure>> => {
        const { upstreamId } = previous.upstream;
        if (isReattachable(end) && !progress.reattached) {
            // Only the connection may have failed while the engine continues to generate; attaching over a new one then
            // succeeds.
            progress.reattached = true;
            const same = ports.find(upstreamId);
            if (same !== undefined) {
                return Ok({ type: "attach", upstream: same, afterTokens: journal.tokens().length });
            }
        }
        progress.excluded.add(upstreamId);
        const selected = await selectWithRetry();
        if (selected.err) {
            return selected;
        }
        if (end.type === "evacuated") {
            const plan = await planMove(previous.upstream, selected.val, options);
            void previous.upstream.client.cancel(request.requestId);
            return Ok(plan);
        }
        const deliveredTokens = [...journal.tokens()];
        return Ok({ type: "generate", upstream: selected.val, deliveredTokens, cacheHandle: undefined });
    };

    const permitNextAttempt = (end: AttemptEnd): Result<void, Failure> => {
        if (options.signal.aborted) {
            return Err(createFailure(ErrorCode.Cancelled));
        }
        if (isPastDeadline()) {
            return Err(createFailure(ErrorCode.DeadlinePassed));
        }
        if (end.type === "failed" && !(strategy.recovers && RECOVERABLE_CODES.has(end.failure.code))) {
            return Err(end.failure);
        }
        if (isMove(end)) {
            ports.recordMove();
            return Ok(undefined);
        }
        return progress.accepted ? Ok(undefined) : ports.permitRetry();
    };

    /** Streams one attempt to its end; releases the upstream even if the consumer stops reading early. */
    const streamAttempt = async function*(
        current: AttemptPlan,
    ): AsyncGenerator<Result<AnswerEvent, Failure>, AttemptEnd> {
        const attempt = runAttempt(current, options, ports, strategy);
        let outcome: Parameters<SelectedUpstream["release"]>[0] = "cancelled";
        try {
            let step = await attempt.next();
            while (step.done !== true) {
                progress.accepted = true;
                yield Ok(step.value);
                step = await attempt.next();
            }
            outcome = options.signal.aborted ? "cancelled" : outcomeOf(step.value);
            return step.value;
        }
        finally {
            current.upstream.release(outcome);
            await attempt.return({ type: "failed", failure: createFailure(ErrorCode.Cancelled) });
        }
    };

    let plan = await planFirstAttempt();
    while (plan.ok) {
        const current: AttemptPlan = plan.val;
        const end = yield* streamAttempt(current);
        if (end.type === "finished") {
            return;
        }
        const permitted = permitNextAttempt(end);
        plan = permitted.ok ? await planNextAttempt(end, current) : permitted;
    }
    yield Err(plan.val);
};
