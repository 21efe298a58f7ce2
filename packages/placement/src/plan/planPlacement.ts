import { advancePlan } from "./advancePlan";
import { carriesDemand } from "./carriesDemand";
import { choiceKey } from "./choiceKey";
import { findPlacementTarget } from "./findPlacementTarget";
import { listOptions } from "./listOptions";
import type { PlacementDecision } from "./placementDecision";
import type { PlacementInput } from "./placementInput";
import type { PlacementRequirement } from "./placementRequirement";
import type { PlannedReplica } from "./plannedReplica";
import { reconcileReplicas } from "./reconcileReplicas";
import type { ReplicaChoice } from "./replicaChoice";
import type { ReplicaOption } from "./replicaOption";
import type { ServiceDemand } from "./serviceDemand";
import type { ServicePlan } from "./servicePlan";
import { subtractChoices } from "./subtractChoices";
import { totalPricePerHour } from "./totalPricePerHour";

type OptionLookup = (choice: ReplicaChoice) => ReplicaOption;

const requirementOf = ({ placement, policy }: PlacementInput, demand: ServiceDemand): PlacementRequirement => ({
    demand: {
        concurrentSequences: demand.concurrentSequences * (1 + policy.headroomShare),
        prefillTokensPerSecond: demand.prefillTokensPerSecond * (1 + policy.headroomShare),
    },
    minimumReplicas: placement.minimumReplicas,
    maximumReplicas: placement.maximumReplicas,
    reclaimableShare: placement.reclaimableShare,
    spareZones: Math.min(placement.spareZones, new Set(placement.availabilityZones).size - 1),
});

const createOptionLookup = (options: readonly ReplicaOption[]): OptionLookup => {
    const byKey = new Map(options.map(option => [choiceKey(option.choice), option]));
    // A replica outside the declared placement has no capacity and an infinite price, so it is drained first.
    return choice =>
        byKey.get(choiceKey(choice))
            ?? { choice, pricePerHour: Infinity, concurrentSequences: 0, prefillTokensPerSecond: 0, refused: true };
};

/** Whether a replica counts towards the planned capacity: it is starting or live. */
const isActive = (replica: PlannedReplica): boolean => replica.phase !== "draining";

const exceedsReclaimableShare = (
    replicas: readonly ReplicaOption[],
    { reclaimableShare }: PlacementRequirement,
): boolean =>
    replicas.filter(({ choice }) => choice.reclaimable).length > Math.floor(replicas.length * reclaimableShare);

const addReplicas = (plan: ServicePlan, added: readonly ReplicaOption[], nowMs: number): ServicePlan => ({
    ...plan,
    lastIncarnation: plan.lastIncarnation + added.length,
    replicas: [
        ...plan.replicas,
        ...added.map(({ choice }, index): PlannedReplica => ({
            incarnation: plan.lastIncarnation + index + 1,
            choice,
            phase: "starting",
            changedAtMs: nowMs,
        })),
    ],
});

/**
 * Drains the most expensive surplus replicas, up to `maximumConcurrentDrains` and as long as the remaining live ones
 * meet the requirement.
 */
const drainSurplus = (
    plan: ServicePlan,
    surplus: readonly PlannedReplica[],
    requirement: PlacementRequirement,
    lookup: OptionLookup,
    input: PlacementInput,
): ServicePlan => {
    const draining = plan.replicas.filter(replica => replica.phase === "draining" && replica.deadlineMs === undefined);
    const mostExpensiveFirst = [...surplus].sort((left, right) =>
        lookup(right.choice).pricePerHour - lookup(left.choice).pricePerHour
    );
    const drained = mostExpensiveFirst.reduce<ReadonlySet<number>>((chosen, replica) => {
        const remaining = plan.replicas.filter(({ phase, incarnation }) =>
            phase === "live" && incarnation !== replica.incarnation && !chosen.has(incarnation)
        );
        const canDrain = draining.length + chosen.size < input.policy.maximumConcurrentDrains;
        const isSufficient = carriesDemand(remaining.map(({ choice }) => lookup(choice)), requirement);
        return canDrain && isSufficient ? new Set([...chosen, replica.incarnation]) : chosen;
    }, new Set());
    return drained.size === 0 ? plan : {
        ...plan,
        replicas: plan.replicas.map(replica =>
            drained.has(replica.incarnation) ? { ...replica, phase: "draining", changedAtMs: input.nowMs } : replica
        ),
    };
};

const scaleOut = (
    plan: ServicePlan,
    options: readonly ReplicaOption[],
    lookup: OptionLookup,
    input: PlacementInput,
): ServicePlan => {
    const requirement = requirementOf(input, input.demand);
    const active = plan.replicas.filter(isActive).map(({ choice }) => lookup(choice));
    if (carriesDemand(active, requirement)) {
        return plan;
    }
    const target = findPlacementTarget(options, requirement, active, input.policy.minimumSavingShare);
    const missing = subtractChoices(target.replicas, active.map(({ choice }) => choice), ({ choice }) => choice);
    const remainingReplicas = Math.max(0, requirement.maximumReplicas - active.length);
    return addReplicas(plan, missing.slice(0, remainingReplicas), input.nowMs);
};

/**
 * Moves towards the cheapest placement: drains surplus replicas or, when none can be drained, starts cheaper replicas
 * before more expensive ones are drained.
 */
const reduceCost = (
    plan: ServicePlan,
    options: readonly ReplicaOption[],
    lookup: OptionLookup,
    input: PlacementInput,
): ServicePlan => {
    if (input.recentPeakDemand === undefined || plan.replicas.some(replica => replica.phase === "starting")) {
        return plan;
    }
    const requirement = requirementOf(input, input.recentPeakDemand);
    const live = plan.replicas.filter(replica => replica.phase === "live");
    const liveOptions = live.map(({ choice }) => lookup(choice));
    const target = findPlacementTarget(options, requirement, liveOptions, input.policy.minimumSavingShare);
    if (target.spareZones !== requirement.spareZones) {
        return plan;
    }
    const choices = live.map(({ choice }) => choice);
    const surplus = subtractChoices(live, target.replicas.map(({ choice }) => choice), ({ choice }) => choice);
    const missing = subtractChoices(target.replicas, choices, ({ choice }) => choice);
    const drained = drainSurplus(plan, surplus, requirement, lookup, input);
    const savesEnough =
        totalPricePerHour(target.replicas) < totalPricePerHour(liveOptions) * (1 - input.policy.minimumSavingShare);
    const remainingReplicas = Math.max(0, requirement.maximumReplicas - live.length);
    return drained === plan && (savesEnough || exceedsReclaimableShare(liveOptions, requirement))
        ? addReplicas(plan, missing.slice(0, remainingReplicas), input.nowMs)
        : drained;
};

const nextPlan = (input: PlacementInput, options: readonly ReplicaOption[], lookup: OptionLookup): ServicePlan => {
    const { revision, models, adapters } = input;
    const reconciled = reconcileReplicas(input);
    const scaledOut = scaleOut(reconciled, options, lookup, input);
    const next = scaledOut === reconciled ? reduceCost(reconciled, options, lookup, input) : scaledOut;
    return advancePlan(input.plan, { ...next, revision, models, adapters });
};

/**
 * Computes the next plan of one service: applies the observed state, starts replicas until the capacity covers the
 * demand even after the loss of the spare zones, and drains expensive replicas once the demand has been lower for long
 * enough. A plan that is based on a newer configuration than the input is not changed.
 */
export const planPlacement = (input: PlacementInput): PlacementDecision => {
    const options = listOptions(input.placement, input.machineClasses, input.refusedChoiceKeys);
    const lookup = createOptionLookup(options);
    const plan = input.revision < input.plan.revision ? input.plan : nextPlan(input, options, lookup);
    const live = plan.replicas.filter(replica => replica.phase === "live").map(({ choice }) => lookup(choice));
    const requirement = requirementOf(input, input.demand);
    return {
        plan,
        conditions: {
            carriesDemand: carriesDemand(live, { ...requirement, spareZones: 0 }),
            survivesZoneLoss: carriesDemand(live, requirement),
            startsRefused: input.refusedChoiceKeys.size > 0,
            pricePerHour: totalPricePerHour(live.filter(({ pricePerHour }) => Number.isFinite(pricePerHour))),
        },
    };
};
