import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results";
import type { Continuation } from "../engines/continuation";
import type { PlacementDecision } from "../placement/placementDecision";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { AttemptOutcome } from "./attemptOutcome";
import { findBetterHosts } from "./findBetterHosts";
import { findQuarantinedFeature } from "./findQuarantinedFeature";
import type { ForwardContext } from "./forwardContext";
import { placeRequest } from "./placeRequest";
import type { Refusal } from "./refusal";
import type { RelayOutcome } from "./relayOutcome";
import { relayRequest } from "./relayRequest";
import { sendToUpstream } from "./sendToUpstream";
import { stoppingRefusal } from "./stoppingRefusal";
import { toOfferedRequest } from "./toOfferedRequest";
import { waitForCapacity } from "./waitForCapacity";

/** `Retry-After` of a request that was refused by upstreams. */
const REFUSED_RETRY_MS = 200;

/**
 * Lost runs after which a request is not sent again, whatever is known of it: if it crashes the upstreams that run it, the
 * first crash may not be confirmed yet.
 */
const MAXIMUM_LOST_RUNS = 2;

/** Reasons of refusals after which the request may be served when capacity is free again. */
const CAPACITY_REASONS: ReadonlySet<string> = new Set(["above-level", "saturated"]);

/** Returns why a request has ended whose outcome is not known. */
const endReason = ({ reason }: AbortSignal): string => reason === "stopping" ? "stopping" : "deadline_passed";

/** Returns the error response for a request that is not attempted again. */
const finalRefusal = ({ runs, admitted, ended }: ForwardContext, reason: string, retryAfterMs: number): Refusal => {
    const { admission } = admitted;
    if (runs > 0) {
        return ended.aborted ? { status: 504, reason: endReason(ended) } : { status: 502, reason };
    }
    if (ended.reason === "stopping") {
        return stoppingRefusal;
    }
    return admission.kind === "spare"
        ? { status: 429, reason: "over_limit", retryAfterMs: admission.waitMs }
        : { status: 503, reason, retryAfterMs };
};

/** Reserves a place for a request that was refused for lack of capacity, if its service is saturated. */
const planReturn = ({ options, admitted, features }: ForwardContext, refusal: Refusal): Refusal => {
    const retryAfterMs = refusal.status !== 503 || !CAPACITY_REASONS.has(refusal.reason)
        ? undefined
        : options.returns?.refuse(
            toOfferedRequest(admitted),
            features.request(),
            admitted.dueAtMs - options.clock.monotonicMs(),
        );
    return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs, isReturnPlanned: true };
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
    if (ended.aborted || !isAllowed || isDangerous) {
        return false;
    }
    if (outcome.kind === "moved") {
        // The run has been stopped for the move, so that giving it up now would lose it.
        options.retryBudget.charge(admitted.service);
        return true;
    }
    return outcome.kind === "elsewhere" && outcome.isCharged || options.retryBudget.tryAcquire(admitted.service);
};

/** Whether the upstream to which a run was moved has announced its departure since it was chosen. */
const hasTargetLeft = ({ options }: ForwardContext, source: UpstreamRecord, { upstream }: Continuation): boolean =>
    upstream.upstreamId !== source.upstreamId && options.upstreams.isDeparting(upstream);

const nextDecision = (context: ForwardContext, continuation: Continuation | undefined): PlacementDecision => {
    if (continuation !== undefined) {
        const { upstream } = continuation;
        return { kind: "send", upstream, predictedMs: 0, idleMs: 0, backlogMs: 0, promptMs: 0, running: 0 };
    }
    return placeRequest(context);
};

/** Counts the first send of a request for the retry budget, unless another host has. */
const recordSend = (context: ForwardContext): void => {
    const { options, admitted, isSendRecorded } = context;
    if (!isSendRecorded && options.relayed?.isFirstSend !== false) {
        options.retryBudget.recordRequest(admitted.service);
    }
    context.isSendRecorded = true;
};

const attemptUntilAnswered = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { options, admitted: { service }, progress, excluded, features } = context;
    let continuation: Continuation | undefined;
    for (;;) {
        // Before the first attempt this was checked on arrival.
        const quarantined = progress.attempts === 0
            ? undefined
            : findQuarantinedFeature(context.options.quarantine, features.watched(), progress);
        if (quarantined !== undefined) {
            return Err(context.runs > 0 ? { status: 502, reason: quarantined.reason } : quarantined);
        }
        if (context.runs === 0 && options.isTooLateToRun(context.admitted.dueAtMs)) {
            return Err(stoppingRefusal);
        }
        // A run that an engine moved goes on at another one; a peer would run the request again.
        const isMoved = continuation !== undefined;
        let step: RelayOutcome | PlacementDecision | undefined = !isMoved || context.mayRepeat
            ? await relayRequest(context, isMoved)
            : undefined;
        if (step === undefined) {
            recordSend(context);
            const next = waitForCapacity(context, () => nextDecision(context, continuation));
            // Not awaited otherwise, so that no other request is placed between the decision and the send.
            const decision = next instanceof Promise ? await next : next;
            const betterHosts = isMoved ? undefined : findBetterHosts(context, decision);
            step = betterHosts === undefined
                ? decision
                : await relayRequest(context, false, betterHosts) ?? nextDecision(context, undefined);
        }
        if (step.kind === "final") {
            return step.result;
        }
        if (step.kind === "attempt") {
            if (mayRetry(context, step.outcome)) {
                // The caller may have later events from the peer than those at which the moved run goes on.
                continuation = undefined;
                continue;
            }
            return Err(finalRefusal(context, step.outcome.reason, REFUSED_RETRY_MS));
        }
        progress.placement = step;
        if (step.kind === "refuse") {
            if (step.reason === "saturated" || step.reason === "paused") {
                options.admission?.recordSaturation(service);
            }
            return Err(planReturn(context, finalRefusal(context, step.reason, step.retryAfterMs)));
        }
        progress.attempts++;
        const outcome = await sendToUpstream(context, step.upstream, step.predictedMs, continuation);
        if (outcome.kind === "done") {
            return Ok(outcome.status);
        }
        await options.relay?.checked(service);
        // A request that has not run anywhere is relayed without a charge to the retry budget.
        const isRelayable = options.relay?.isCutOff(service) === true && context.runs === 0 && !context.ended.aborted;
        if (!isRelayable && !mayRetry(context, outcome)) {
            return Err(finalRefusal(context, outcome.reason, REFUSED_RETRY_MS));
        }
        excluded.add(step.upstream.upstreamId);
        continuation = outcome.kind === "moved" ? outcome.continuation : undefined;
        if (continuation !== undefined && hasTargetLeft(context, step.upstream, continuation)) {
            if (!context.mayRepeat) {
                return Err(finalRefusal(context, "move_target_left", REFUSED_RETRY_MS));
            }
            continuation = undefined;
        }
    }
};

/** Sends a request to upstreams until one responds; returns the status, or the error response for the client. */
export const forwardRequest = async (context: ForwardContext): Promise<Result<number, Refusal>> => {
    const { options, admitted } = context;
    const result = await attemptUntilAnswered(context);
    if (context.runs === 0 && options.relayed === undefined && admitted.account !== undefined) {
        options.accounts.refund(admitted.account.accountId, admitted.units, admitted.admission);
    }
    return result;
};
