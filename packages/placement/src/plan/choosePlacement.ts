import { choiceKey } from "./choiceKey";
import type { PlacementRequirement } from "./placementRequirement";
import type { ReplicaOption } from "./replicaOption";
import { replicasNeeded } from "./replicasNeeded";

interface Unit {
    readonly option: ReplicaOption;
    /** Price, with a discount for a replica that exists already. */
    readonly price: number;
    /** Price by which units are ranked; dearer for reclaimable hosts when their share is limited. */
    readonly rankPrice: number;
}

interface Candidate {
    readonly replicas: readonly ReplicaOption[];
    readonly price: number;
}

interface ChoiceContext {
    readonly requirement: PlacementRequirement;
    /** Number of existing replicas by choice key. */
    readonly existing: ReadonlyMap<string, number>;
    readonly moveSavingShare: number;
}

const listUnits = (
    options: readonly ReplicaOption[],
    { existing, moveSavingShare }: ChoiceContext,
    perZone: number,
    reclaimablePenalty: number,
): readonly Unit[] =>
    options.flatMap(option => {
        const existingCount = existing.get(choiceKey(option.choice)) ?? 0;
        const count = option.refused ? Math.min(perZone, existingCount) : perZone;
        const penalty = option.choice.reclaimable ? reclaimablePenalty : 0;
        return Array.from({ length: count }, (_, index) => {
            const price = option.pricePerHour * (index < existingCount ? 1 - moveSavingShare : 1);
            return { option, price, rankPrice: price + penalty };
        });
    }).sort((left, right) => left.rankPrice - right.rankPrice);

/** Takes the cheapest units within the limits for one zone and for reclaimable hosts. */
const takeUnits = (
    units: readonly Unit[],
    total: number,
    perZone: number,
    reclaimableLimit: number,
): readonly Unit[] => {
    const zoneCounts = new Map<string, number>();
    let reclaimableCount = 0;
    let takenCount = 0;
    return units.filter(({ option: { choice } }) => {
        const zoneCount = zoneCounts.get(choice.availabilityZone) ?? 0;
        const overShare = choice.reclaimable && reclaimableCount >= reclaimableLimit;
        if (takenCount >= total || zoneCount >= perZone || overShare) {
            return false;
        }
        takenCount++;
        reclaimableCount += choice.reclaimable ? 1 : 0;
        zoneCounts.set(choice.availabilityZone, zoneCount + 1);
        return true;
    });
};

/** Penalties at which the choice between a reclaimable and an on-demand host turns over. */
const penaltiesOf = (options: readonly ReplicaOption[]): readonly number[] => {
    const onDemand = options.filter(({ choice }) => !choice.reclaimable);
    const reclaimable = options.filter(({ choice }) => choice.reclaimable);
    const differences = onDemand.flatMap(left => reclaimable.map(right => left.pricePerHour - right.pricePerHour));
    return [...new Set([0, ...differences.filter(difference => difference > 0)])];
};

const candidatesPerZone = (
    options: readonly ReplicaOption[],
    context: ChoiceContext,
    total: number,
    perZone: number,
): readonly Candidate[] => {
    const reclaimableLimit = Math.floor(total * context.requirement.reclaimableShare);
    return penaltiesOf(options)
        .map(penalty => takeUnits(listUnits(options, context, perZone, penalty), total, perZone, reclaimableLimit))
        .filter(units => units.length === total)
        .map(units => ({
            replicas: units.map(unit => unit.option),
            price: units.reduce((sum, unit) => sum + unit.price, 0),
        }));
};

const candidatesOfClass = (options: readonly ReplicaOption[], context: ChoiceContext): readonly Candidate[] => {
    const { requirement } = context;
    const needed = replicasNeeded(options, requirement.demand);
    const zones = new Set(options.map(({ choice }) => choice.availabilityZone)).size;
    const largest = Math.max(1, needed, requirement.minimumReplicas);
    const smallest = Math.max(1, Math.ceil(needed / Math.max(1, zones - requirement.spareZones)));
    return Array.from({ length: largest - smallest + 1 }, (_, index) => smallest + index).flatMap(perZone => {
        const withSpare = needed === 0 ? 0 : needed + requirement.spareZones * perZone;
        const total = Math.max(withSpare, requirement.minimumReplicas);
        return total > requirement.maximumReplicas ? [] : candidatesPerZone(options, context, total, perZone);
    });
};

/**
 * Chooses the cheapest replicas of one machine class that meet the requirement, or undefined when none do. A zone
 * gets at most a fixed number of replicas, so that the loss of `spareZones` zones takes at most that many each; every
 * such number is tried.
 */
export const choosePlacement = (
    options: readonly ReplicaOption[],
    context: ChoiceContext,
): readonly ReplicaOption[] | undefined => {
    const classes = [...new Set(options.map(({ choice }) => choice.machineClass))];
    return classes
        .flatMap(name => candidatesOfClass(options.filter(({ choice }) => choice.machineClass === name), context))
        .reduce<Candidate | undefined>(
            (best, candidate) => (best === undefined || candidate.price < best.price ? candidate : best),
            undefined,
        )?.replicas;
};
