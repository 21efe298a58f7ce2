import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { Continuation } from "../engines/continuation";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementDecision } from "../placement/placementDecision";
import type { AttemptOutcome } from "./attemptOutcome";
import type { ForwardContext } from "./forwardContext";
import type { Refusal } from "./refusal";
import { sendToUpstream } from "./sendToUpstream";
import { toPlacementRequest } from "./toPlacementRequest";

/** Retry hint after upstreams refused a request. */
const REFUSED_RETRY_MS = 200;

/** The failure to report when no further send is made. */
const failureAfter = ({ runs, admitted, ended }: ForwardContext, reason: string, retryAfterMs: number): Refusal => {
    const { admission } = admitted;
    if (runs > 0) {
        return ended.aborted ? { status: 504, reason: "deadline_passed" } : { status: 502, reason };
    }
    return admission.kind === "spare"
        ? { status: 429, reason: "over_limit", retryAfterMs: admission.waitMs }
        : { status: 503, reason, retryAfterMs };
};

/** Whether the request may go to another upstream after this outcome. */
const mayGoOn = (
    { options, admitted, ended, mayRepeat, runs }: ForwardContext,
    outcome: Exclude<AttemptOutcome, { readonly kind: "done"; }>,
): boolean => {
    const isAllowed = match(outcome.kind)
        .with("moved", () => true)
        .with("elsewhere", () => runs === 0 || mayRepeat)
        .with("repeat", () => mayRepeat && runs < admitted.route.maximumAttempts)
        .exhaustive();
    const isPaid = outcome.kind === "elsewhere" && outcome.isPaid;
    return !ended.aborted && isAllowed && (isPaid || options.retries.spend(admitted.service));
};

const decide = (context: ForwardContext, continuation: Continuation | undefined): PlacementDecision => {
    if (continuation !== undefined) {
        const { upstream } = continuation;
        return { kind: "send", upstream, predictedMs: 0, backlogMs: 0, promptMs: 0, running: 0 };
    }
    const request = toPlacementRequest(context, false);
    return chooseUpstream(context.options.upstreams.candidates(context.admitted.service, request), request);
};

const sendUntilAnswered = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { progress, excluded } = context;
    let continuation: Continuation | undefined;
    for (;;) {
        const decision = decide(context, continuation);
        progress.placement = decision;
        if (decision.kind === "refuse") {
            return Err(failureAfter(context, decision.reason, decision.retryAfterMs));
        }
        progress.attempts++;
        const outcome = await sendToUpstream(context, decision.upstream, decision.predictedMs, continuation);
        if (outcome.kind === "done") {
            return Ok(outcome.status);
        }
        if (!mayGoOn(context, outcome)) {
            return Err(failureAfter(context, outcome.reason, REFUSED_RETRY_MS));
        }
        excluded.add(decision.upstream.upstreamId);
        continuation = outcome.kind === "moved" ? outcome.continuation : undefined;
    }
};

/** Sends a request to upstreams until one answers; returns the status, or the failure for the caller. */
export const forwardRequest = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { options, admitted } = context;
    options.retries.countRequest(admitted.service);
    const result = await sendUntilAnswered(context);
    if (context.runs === 0 && admitted.account !== undefined) {
        options.accounts.giveBack(admitted.account.accountId, admitted.units, admitted.admission);
    }
    return result;
};
