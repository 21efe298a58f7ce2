import { compareOrderIds } from "./compareOrderIds";
import { judgeVersion } from "./judgeVersion";
import { measureExposure } from "./measureExposure";
import { reportAgeMs } from "./reportAgeMs";
import type { RolloutPhase } from "./rolloutPhase";
import type { RolloutProgress } from "./rolloutProgress";
import type { RolloutState } from "./rolloutState";
import { sustainableShare } from "./sustainableShare";
import { validateOrder } from "./validateOrder";
import type { Verdict } from "./verdict";
import type { VerdictCause } from "./verdictCause";

/** Canary share in relation to `exposeShare`; the rest is left for the ramp. */
const CANARY_PART = 0.7;

/** Times of the plan, in relation to the duration. Streams of the other versions need the time after the promotion. */
const PROMOTION_PART = 0.65;
const LATEST_PROMOTION_PART = 0.8;
const COMPLETION_PART = 0.9;

/** Time for which the ramp's share is observed before its reports are awaited. */
const RAMP_MS = 1_500;

/** Time in which most hosts learn of a larger share. */
const STATE_SPREAD_MS = 1_000;

/** Time from the start of the ramp to the promotion. */
const RAMP_LEAD_MS = STATE_SPREAD_MS + RAMP_MS + reportAgeMs;

/** A version may turn bad this long after its start. */
const LATE_FAILURE_MS = 3_000;

/** Time before the deadline at which the outcome is decided, for the two writes of the duty holder. */
const DECISION_MARGIN_MS = 600;

/** If the budget covers this share until promotion, as with few requests, the ramp starts early to gather evidence. */
const EARLY_RAMP_SHARE = 0.25;

/** Largest share in the ramp: half of the requests give the best comparison. */
const MAXIMUM_RAMP_SHARE = 0.5;

/** A ramp's share is raised by this factor at least: the rate is overestimated at first, and each change is a write. */
const RAISE_FACTOR = 1.25;

/** Time from which the rate of requests is known well enough for an early ramp. */
const EARLY_RAMP_AFTER_MS = reportAgeMs + 500;

/** Requests of a target that has been observed at all. */
const OBSERVED_REQUESTS = 10;

/** Excluded versions that are remembered; the oldest is dropped. */
const MAXIMUM_EXCLUDED = 16;

interface Situation extends RolloutProgress {
    readonly state: RolloutState;
    readonly verdict: Verdict;
}

type Step = (situation: Situation) => RolloutState;

const describeCause = ({ reason, route }: VerdictCause): string =>
    `${reason === "slow" ? "slow answers" : "failures"} ${route === undefined ? "on all routes" : `on route ${route}`}`;

const enter = (
    state: RolloutState,
    phase: RolloutPhase,
    nowMs: number,
    change: Pick<RolloutState, "reason" | "share">,
): RolloutState => ({ ...state, ...change, phase, phaseSinceMs: nowMs });

const withExcluded = (state: RolloutState): RolloutState["excluded"] =>
    [...state.excluded.filter(version => version !== state.target), state.target].slice(-MAXIMUM_EXCLUDED);

const rollBack = (state: RolloutState, nowMs: number, reason: string): RolloutState => ({
    ...enter(state, "rolled-back", nowMs, { share: 0, reason }),
    excluded: withExcluded(state),
});

const promote = (state: RolloutState, nowMs: number, reason: string): RolloutState =>
    enter(state, "promoting", nowMs, { share: 1, reason });

const complete = (state: RolloutState, nowMs: number, reason: string): RolloutState =>
    enter(state, "completed", nowMs, { share: 1, reason });

const timeOf = ({ startedAtMs, deadlineMs }: RolloutState, part: number): number =>
    startedAtMs + part * (deadlineMs - startedAtMs);

const decisionAtMs = (state: RolloutState): number =>
    state.deadlineMs - Math.min(DECISION_MARGIN_MS, (1 - COMPLETION_PART) * (state.deadlineMs - state.startedAtMs));

const hasTarget = ({ upstreams }: RolloutProgress, { target }: RolloutState): boolean =>
    upstreams.some(({ softwareVersion }) => softwareVersion === target);

const isTrusted = ({ verdict, state, evidence, bounds, nowMs }: Situation): boolean => {
    const exposure = measureExposure(state, evidence, bounds, nowMs);
    return verdict.kind === "good"
        || exposure.received >= OBSERVED_REQUESTS
        || exposure.left > exposure.ratePerMs * (state.deadlineMs - nowMs);
};

/** Decides on the last occasion to promote or complete: a suspected or hardly observed target is rolled back. */
const decide = (situation: Situation, accept: typeof promote): RolloutState => {
    const { state, verdict, nowMs } = situation;
    if (verdict.kind === "undecided" && verdict.suspected !== undefined) {
        return rollBack(state, nowMs, `suspected: ${describeCause(verdict.suspected)}`);
    }
    if (!hasTarget(situation, state)) {
        return rollBack(state, nowMs, "the target has no upstream");
    }
    return isTrusted(situation)
        ? accept(state, nowMs, verdict.kind === "good" ? "as good as the other versions" : "no evidence against it")
        : rollBack(state, nowMs, "too few requests reached the target");
};

const rampShare = ({ state, evidence, bounds, nowMs }: Situation, untilMs: number): number =>
    Math.min(
        MAXIMUM_RAMP_SHARE,
        sustainableShare(measureExposure(state, evidence, bounds, nowMs), bounds, untilMs - nowMs),
    );

const canaryPromotionAtMs = (state: RolloutState): number =>
    Math.min(
        timeOf(state, LATEST_PROMOTION_PART),
        Math.max(timeOf(state, PROMOTION_PART), state.phaseSinceMs + LATE_FAILURE_MS + RAMP_MS + reportAgeMs),
    );

const waitForTarget: Step = situation => {
    const { state, bounds, nowMs } = situation;
    if (hasTarget(situation, state)) {
        const share = CANARY_PART * bounds.exposeShare;
        return enter(state, "canary", nowMs, { share, reason: "the target has an upstream" });
    }
    return nowMs >= decisionAtMs(state) ? rollBack(state, nowMs, "the target has no upstream") : state;
};

const observeCanary: Step = situation => {
    const { state, bounds, nowMs } = situation;
    if (nowMs >= timeOf(state, LATEST_PROMOTION_PART)) {
        return decide(situation, promote);
    }
    const promotionAtMs = canaryPromotionAtMs(state);
    const rampUntilMs = Math.max(promotionAtMs, nowMs + RAMP_LEAD_MS);
    if (nowMs >= promotionAtMs - RAMP_LEAD_MS) {
        const share = Math.max(state.share, rampShare(situation, rampUntilMs));
        return enter(state, "ramp", nowMs, { share, reason: "the canary was observed for long enough" });
    }
    const share = rampShare(situation, promotionAtMs + reportAgeMs);
    const isRateKnown = nowMs - state.startedAtMs >= EARLY_RAMP_AFTER_MS;
    return isRateKnown && share >= Math.max(EARLY_RAMP_SHARE, bounds.exposeShare)
        ? enter(state, "ramp", nowMs, { share, reason: "the exposure budget covers a larger share" })
        : state;
};

const observeRamp: Step = situation => {
    const { state, verdict, nowMs } = situation;
    if (nowMs >= timeOf(state, LATEST_PROMOTION_PART)) {
        return decide(situation, promote);
    }
    const promotionAtMs = Math.max(timeOf(state, PROMOTION_PART), state.phaseSinceMs + RAMP_LEAD_MS);
    if (nowMs >= promotionAtMs && verdict.kind === "good") {
        return decide(situation, promote);
    }
    const share = rampShare(situation, Math.max(promotionAtMs, nowMs) + reportAgeMs);
    return share >= RAISE_FACTOR * state.share ? { ...state, share } : state;
};

const observePromotion: Step = situation => {
    const { state, oldStreams, nowMs } = situation;
    const completionAtMs = Math.min(
        decisionAtMs(state),
        Math.max(timeOf(state, COMPLETION_PART), state.phaseSinceMs + reportAgeMs),
    );
    // All hosts have learned of the promotion, and the reports that say so have arrived.
    const isDrained = oldStreams === 0 && nowMs >= state.phaseSinceMs + 2 * reportAgeMs;
    return isDrained || nowMs >= completionAtMs ? decide(situation, complete) : state;
};

const unlessBad = (step: Step): Step => situation =>
    situation.verdict.kind === "bad"
        ? rollBack(situation.state, situation.nowMs, describeCause(situation.verdict))
        : step(situation);

const steps: Readonly<Record<RolloutPhase, Step>> = {
    canary: situation => situation.state.share === 0 ? waitForTarget(situation) : unlessBad(observeCanary)(situation),
    ramp: unlessBad(observeRamp),
    promoting: unlessBad(observePromotion),
    completed: ({ state }) => state,
    "rolled-back": ({ state }) => state,
};

/** Versions excluded by an earlier order. A completed one carries the traffic now; a roll-back has excluded its target. */
const excludedAfter: Readonly<Record<RolloutPhase, (state: RolloutState) => RolloutState["excluded"]>> = {
    canary: withExcluded,
    ramp: withExcluded,
    promoting: withExcluded,
    completed: ({ excluded }) => excluded,
    "rolled-back": ({ excluded }) => excluded,
};

const startRollout = (progress: RolloutProgress): RolloutState => {
    const { state: earlier, order, hasService, evidence, upstreams, nowMs } = progress;
    const excluded = earlier === undefined ? [] : excludedAfter[earlier.phase](earlier);
    // The first snapshot was taken when this host saw the order, which may be before it became the duty holder.
    const startedAtMs = Math.min(nowMs, evidence.at(0)?.atMs ?? nowMs);
    const started: RolloutState = {
        orderId: order.orderId,
        service: order.service,
        target: order.target,
        phase: "canary",
        startedAtMs,
        phaseSinceMs: nowMs,
        deadlineMs: startedAtMs + order.durationMs,
        share: 0,
        reason: "the order was seen",
        excluded: excluded.filter(version => version !== order.target),
        evidenceAtStart: evidence.at(0)?.rows ?? [],
    };
    const others = [...new Set(upstreams.map(({ softwareVersion }) => softwareVersion))]
        .filter(version => version !== order.target);
    const usable = others.filter(version => !started.excluded.includes(version));
    const validated = validateOrder(order, { hasService });
    if (validated.err) {
        // The version that carries the traffic is not excluded by a rejected order for it.
        const isCarrying = usable.length === 0 || earlier?.phase === "completed" && earlier.target === order.target;
        const rejected = rollBack({ ...started, deadlineMs: nowMs }, nowMs, `rejected: ${validated.val}`);
        return isCarrying ? { ...rejected, excluded: started.excluded } : rejected;
    }
    if (!hasTarget(progress, started) || usable.length > 0) {
        return started;
    }
    return others.length === 0
        ? complete(started, nowMs, "the target is the only registered version")
        : promote(started, nowMs, "all other registered versions are excluded");
};

/**
 * Returns the next state of a rollout, which is the given object if nothing changes. Rejects invalid orders, and replaces
 * the state of an earlier order. The state of a later order than the given one is returned as it is.
 *
 * Handles 5 to 700 requests a second and evidence that is up to two seconds old: the ramp precedes the promotion by so
 * much that its answers are known, and its share is such that the exposure stays within its budget until then.
 */
export const advanceRollout = (progress: RolloutProgress): RolloutState => {
    const { state, order, evidence } = progress;
    if (state === undefined || compareOrderIds(state.orderId, order.orderId) < 0) {
        return startRollout(progress);
    }
    return compareOrderIds(state.orderId, order.orderId) > 0
        ? state
        : steps[state.phase]({ ...progress, state, verdict: judgeVersion(state.target, evidence) });
};
