import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { Continuation } from "../engines/continuation";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementDecision } from "../placement/placementDecision";
import type { AttemptOutcome } from "./attemptOutcome";
import { findQuarantinedFeature } from "./findQuarantinedFeature";
import type { ForwardContext } from "./forwardContext";
import type { Refusal } from "./refusal";
import { sendToUpstream } from "./sendToUpstream";
import { toPlacementRequest } from "./toPlacementRequest";

/** `Retry-After` of a request that was refused by upstreams. */
const REFUSED_RETRY_MS = 200;

/**
 * Lost runs after which a request is not sent again, whatever is known of it: if it crashes the upstreams that run it, the
 * first crash may not be confirmed yet.
 */
const MAXIMUM_LOST_RUNS = 2;

/** Returns the error response for a request that is not attempted again. */
const finalRefusal = ({ runs, admitted, ended }: ForwardContext, reason: string, retryAfterMs: number): Refusal => {
    const { admission } = admitted;
    if (runs > 0) {
        return ended.aborted ? { status: 504, reason: "deadline_passed" } : { status: 502, reason };
    }
    return admission.kind === "spare"
        ? { status: 429, reason: "over_limit", retryAfterMs: admission.waitMs }
        : { status: 503, reason, retryAfterMs };
};

/** Whether the request may be sent to another upstream after this outcome. */
const mayRetry = (
    { options, admitted, ended, mayRepeat, runs, lostRuns }: ForwardContext,
    outcome: Exclude<AttemptOutcome, { readonly kind: "done"; }>,
): boolean => {
    const isAllowed = match(outcome.kind)
        .with("moved", () => true)
        .with("elsewhere", () => runs === 0 || mayRepeat)
        .with("repeat", () => mayRepeat && runs < admitted.route.maximumAttempts)
        .exhaustive();
    const isDangerous = outcome.kind === "repeat" && outcome.suspectedIds.length > 0
        && (lostRuns >= MAXIMUM_LOST_RUNS || !options.quarantine.mayRepeat(outcome.suspectedIds));
    const isCharged = outcome.kind === "elsewhere" && outcome.isCharged;
    return !ended.aborted && isAllowed && !isDangerous
        && (isCharged || options.retryBudget.tryAcquire(admitted.service));
};

const nextDecision = (context: ForwardContext, continuation: Continuation | undefined): PlacementDecision => {
    if (continuation !== undefined) {
        const { upstream } = continuation;
        return { kind: "send", upstream, predictedMs: 0, backlogMs: 0, promptMs: 0, running: 0 };
    }
    const { random, upstreams } = context.options;
    const request = toPlacementRequest(context, false);
    const fraction = upstreams.areLoadsOld() ? random.nextFloat() : undefined;
    return chooseUpstream(upstreams.candidates(context.admitted.service, request), request, fraction);
};

const attemptUntilAnswered = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { progress, excluded, features } = context;
    let continuation: Continuation | undefined;
    for (;;) {
        // Before the first attempt this was checked on arrival.
        const quarantined = progress.attempts === 0
            ? undefined
            : findQuarantinedFeature(context.options.quarantine, features.watched(), progress);
        if (quarantined !== undefined) {
            return Err(context.runs > 0 ? { status: 502, reason: quarantined.reason } : quarantined);
        }
        const decision = nextDecision(context, continuation);
        progress.placement = decision;
        if (decision.kind === "refuse") {
            return Err(finalRefusal(context, decision.reason, decision.retryAfterMs));
        }
        progress.attempts++;
        const outcome = await sendToUpstream(context, decision.upstream, decision.predictedMs, continuation);
        if (outcome.kind === "done") {
            return Ok(outcome.status);
        }
        if (!mayRetry(context, outcome)) {
            return Err(finalRefusal(context, outcome.reason, REFUSED_RETRY_MS));
        }
        excluded.add(decision.upstream.upstreamId);
        continuation = outcome.kind === "moved" ? outcome.continuation : undefined;
    }
};

/** Sends a request to upstreams until one responds; returns the status, or the error response for the client. */
export const forwardRequest = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { options, admitted } = context;
    options.retryBudget.recordRequest(admitted.service);
    const result = await attemptUntilAnswered(context);
    if (context.runs === 0 && admitted.account !== undefined) {
        options.accounts.refund(admitted.account.accountId, admitted.units, admitted.admission);
    }
    return result;
};
