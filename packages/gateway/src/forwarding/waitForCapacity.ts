import type { PlacementDecision } from "../placement/placementDecision";
import { admitByLevel } from "./admitByLevel";
import type { ForwardContext } from "./forwardContext";
import { toOfferedRequest } from "./toOfferedRequest";

/** Fractions of the objective and of the remaining time that a request may wait for capacity. */
const MAXIMUM_OBJECTIVE_SHARE = 0.3;
const MAXIMUM_OBJECTIVE_SHARE_IN_ORDER = 0.25;
const MAXIMUM_REMAINING_SHARE = 0.2;

/** `Retry-After` of a request that is refused because others wait already. */
const RETRY_AFTER_QUEUE_MS = 250;

/** Waiting requests for each slot that belongs to this host; more would wait in vain while the service is overloaded. */
const WAITING_PER_SLOT = 1;

/**
 * Lets a request wait for capacity at brittle upstreams if it would be refused, or if others wait already. Returns the
 * decision, or a promise of it; without brittle upstreams, the decision is that of `decide`.
 */
export const waitForCapacity = (
    context: ForwardContext,
    decide: () => PlacementDecision,
): PlacementDecision | Promise<PlacementDecision> => {
    const { options, admitted, ended } = context;
    const { upstreams, capacityQueue, clock } = options;
    const { service, route, dueAtMs } = admitted;
    if (!upstreams.brittle.isRestricted(service)) {
        return decide();
    }
    const isPaused = (decision: PlacementDecision): boolean =>
        decision.kind === "refuse" && decision.reason === "paused";
    const decision: PlacementDecision = capacityQueue.hasWaiting(service) && admitByLevel(context)
        ? { kind: "refuse", reason: "paused", retryAfterMs: RETRY_AFTER_QUEUE_MS }
        : decide();
    if (!isPaused(decision)) {
        return decision;
    }
    const isOrdered = options.admission?.isEnabled() === true;
    const waited = capacityQueue.wait(service, {
        maximumWaiting: upstreams.brittle.ownSlots(service) * WAITING_PER_SLOT,
        durationMs: Math.min(
            route.objectiveMs * (isOrdered ? MAXIMUM_OBJECTIVE_SHARE_IN_ORDER : MAXIMUM_OBJECTIVE_SHARE),
            (dueAtMs - clock.monotonicMs()) * MAXIMUM_REMAINING_SHARE,
        ),
        signal: ended,
        request: isOrdered ? { ...toOfferedRequest(admitted), dueAtMs } : undefined,
        findCapacity: () => {
            const next = decide();
            return isPaused(next) ? undefined : next;
        },
    });
    // Not decided again: all requests whose time is over would find the same capacity.
    return waited.then(found => found ?? decision);
};
