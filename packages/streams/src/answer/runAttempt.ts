import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { EngineEvent } from "@ibislanding/upstreams";
import { match } from "ts-pattern";
import type { Result } from "ts-results";
import type { AnswerEvent } from "./answerEvent";
import type { AnswerOptions } from "./answerOptions";
import type { AnswerPorts } from "./answerPorts";
import type { AnswerStrategy } from "./answerStrategy";
import type { AttemptEnd } from "./attemptEnd";
import type { AttemptPlan } from "./attemptPlan";

const failedWith = (code: ErrorCode): AttemptEnd => ({ type: "failed", failure: createFailure(code) });

const openEvents = (
    plan: AttemptPlan,
    request: AnswerOptions["request"],
    signal: AbortSignal,
): Promise<Result<AsyncIterable<Result<EngineEvent, Failure>>, Failure>> =>
    match(plan)
        .with({ type: "attach" }, ({ upstream, afterTokens }) =>
            upstream.client.attach(request.requestId, afterTokens, signal))
        .with({ type: "generate" }, ({ upstream, deliveredTokens, cacheHandle }) =>
            upstream.client.generate({ ...request, deliveredTokens, cacheHandle }, signal))
        .exhaustive();

/** Runs one attempt on one upstream; yields its events without duplicate tokens and returns how the attempt ended. */
export const runAttempt = async function*(
    plan: AttemptPlan,
    options: AnswerOptions,
    ports: AnswerPorts,
    strategy: AnswerStrategy,
): AsyncGenerator<AnswerEvent, AttemptEnd> {
    const { journal, request } = options;
    const { upstreamId } = plan.upstream;
    const abort = new AbortController();
    const evacuation = { due: false };
    let finished = false;
    const stopWatching = ports.watchLeaving(upstreamId, strategy.evacuationLeadMs, () => {
        evacuation.due = true;
        abort.abort();
    });
    const onCancel = (): void => abort.abort();
    options.signal.addEventListener("abort", onCancel, { once: true });
    try {
        const events = await openEvents(plan, request, abort.signal);
        if (events.err) {
            return evacuation.due ? { type: "evacuated" } : { type: "failed", failure: events.val };
        }
        for await (const event of events.val) {
            if (finished) {
                continue;
            }
            if (event.err) {
                return evacuation.due ? { type: "evacuated" } : { type: "failed", failure: event.val };
            }
            const value = event.val;
            if (value.type === "token") {
                const added = journal.append(value.index, value.text);
                if (added === "gap") {
                    return failedWith(ErrorCode.UpstreamInvalidAnswer);
                }
                if (added === "added" || !strategy.dropsDuplicates) {
                    yield { type: "token", index: value.index, text: value.text, upstreamId };
                }
            }
            else if (value.type === "started") {
                plan.upstream.recordPromptTokens(value.promptTokens, value.cachedTokens);
                yield value;
            }
            else if (value.type === "finished") {
                if (value.totalTokens !== journal.tokens().length) {
                    return failedWith(ErrorCode.UpstreamInvalidAnswer);
                }
                yield value;
                finished = true;
            }
        }
        // The stream was read to its end, so its connection can be reused.
        if (finished) {
            return { type: "finished" };
        }
        return evacuation.due ? { type: "evacuated" } : failedWith(ErrorCode.UpstreamSilent);
    }
    finally {
        stopWatching();
        options.signal.removeEventListener("abort", onCancel);
        if (!finished) {
            abort.abort();
        }
    }
};
