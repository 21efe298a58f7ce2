import { match } from "ts-pattern";
import { choiceKey } from "./choiceKey";
import type { ObservedUpstream } from "./observedUpstream";
import type { PlacementInput } from "./placementInput";
import type { PlannedReplica } from "./plannedReplica";
import type { ReplicaChoice } from "./replicaChoice";
import type { ServicePlan } from "./servicePlan";

const isLeaving = ({ record, report }: ObservedUpstream): boolean =>
    record.phase === "leaving" || report?.leaving === true;

const choiceOf = ({ record }: ObservedUpstream): ReplicaChoice => ({
    availabilityZone: record.availabilityZone,
    machineClass: record.machineClass,
    reclaimable: record.reclaimable,
});

const withPhase = (
    replica: PlannedReplica,
    phase: PlannedReplica["phase"],
    nowMs: number,
    deadlineMs?: number,
): PlannedReplica =>
    replica.phase === phase && replica.deadlineMs === (deadlineMs ?? replica.deadlineMs)
        ? replica
        : {
            ...replica,
            phase,
            changedAtMs: replica.phase === phase ? replica.changedAtMs : nowMs,
            ...(deadlineMs === undefined ? {} : { deadlineMs }),
        };

/**
 * Updates a replica whose upstream is not in the host list: a starting one is drained if it does not appear in time,
 * others are removed.
 */
const reconcileAbsent = (replica: PlannedReplica, input: PlacementInput): readonly PlannedReplica[] => {
    const isOverdue = input.nowMs - replica.changedAtMs >= input.policy.startTimeoutMs;
    return match(replica.phase)
        .with("starting", () => [isOverdue ? withPhase(replica, "draining", input.nowMs) : replica])
        .with("live", () => [])
        .with("draining", () => [])
        .exhaustive();
};

const reconcilePresent = (
    replica: PlannedReplica,
    observed: ObservedUpstream,
    input: PlacementInput,
): readonly PlannedReplica[] => {
    const { record } = observed;
    const deadlineMs = input.reclaimDeadlinesMs.get(record.upstreamId) ?? record.deadlineMs;
    if (record.phase === "gone") {
        return [];
    }
    if (replica.phase === "draining" || isLeaving(observed) || input.reclaimDeadlinesMs.has(record.upstreamId)) {
        return [withPhase(replica, "draining", input.nowMs, deadlineMs)];
    }
    return [record.phase === "live" ? withPhase(replica, "live", input.nowMs) : replica];
};

const listAdoptable = (input: PlacementInput): readonly ObservedUpstream[] => {
    const { replicas, service } = input.plan;
    const known = new Set(replicas.map(replica => replica.upstreamId));
    // The unknown upstream may result from one of these starts, whose response is still outstanding.
    const unconfirmed = new Set(
        replicas.filter(replica => replica.upstreamId === undefined).map(replica => choiceKey(replica.choice)),
    );
    return input.upstreams.filter(observed =>
        observed.record.service === service
        && observed.record.phase === "live"
        && !isLeaving(observed)
        && !input.reclaimDeadlinesMs.has(observed.record.upstreamId)
        && !known.has(observed.record.upstreamId)
        && !unconfirmed.has(choiceKey(choiceOf(observed)))
    );
};

/** Updates a plan with the observed state: phases, lost replicas, and live upstreams that are missing in the plan. */
export const reconcileReplicas = (input: PlacementInput): ServicePlan => {
    const { plan, nowMs } = input;
    const byId = new Map(input.upstreams.map(observed => [observed.record.upstreamId, observed]));
    const reconciled = plan.replicas.flatMap(replica => {
        if (replica.upstreamId === undefined) {
            return [replica];
        }
        const observed = byId.get(replica.upstreamId);
        return observed === undefined ? reconcileAbsent(replica, input) : reconcilePresent(replica, observed, input);
    });
    const adopted = listAdoptable(input).map((observed, index): PlannedReplica => ({
        incarnation: plan.lastIncarnation + index + 1,
        choice: choiceOf(observed),
        phase: "live",
        upstreamId: observed.record.upstreamId,
        changedAtMs: nowMs,
    }));
    return {
        ...plan,
        replicas: [...reconciled, ...adopted],
        lastIncarnation: plan.lastIncarnation + adopted.length,
    };
};
