import { choiceKey } from "./choiceKey";
import type { PlacementRequirement } from "./placementRequirement";
import type { ReplicaOption } from "./replicaOption";
import { replicasNeeded } from "./replicasNeeded";

/** Equal replicas of one option. */
interface Batch {
    readonly option: ReplicaOption;
    readonly count: number;
    /** Price of one replica, with a discount for those that exist already. */
    readonly price: number;
    /** Price by which batches are ranked; dearer for reclaimable hosts when their share is limited. */
    readonly rankPrice: number;
}

interface Candidate {
    readonly batches: readonly Batch[];
    readonly price: number;
}

interface ChoiceContext {
    readonly requirement: PlacementRequirement;
    /** Number of existing replicas by choice key. */
    readonly existing: ReadonlyMap<string, number>;
    readonly moveSavingShare: number;
}

const listBatches = (
    options: readonly ReplicaOption[],
    { existing, moveSavingShare }: ChoiceContext,
    perZone: number,
    reclaimablePenalty: number,
): readonly Batch[] =>
    options.flatMap((option): readonly Batch[] => {
        const kept = Math.min(perZone, existing.get(choiceKey(option.choice)) ?? 0);
        const keptPrice = option.pricePerHour * (1 - moveSavingShare);
        const penalty = option.choice.reclaimable ? reclaimablePenalty : 0;
        return [
            { option, count: kept, price: keptPrice, rankPrice: keptPrice + penalty },
            {
                option,
                count: option.refused ? 0 : perZone - kept,
                price: option.pricePerHour,
                rankPrice: option.pricePerHour + penalty,
            },
        ];
    }).filter(({ count }) => count > 0).sort((left, right) => left.rankPrice - right.rankPrice);

/** Takes the cheapest replicas within the limits for one zone and for reclaimable hosts. */
const takeCheapest = (
    batches: readonly Batch[],
    total: number,
    perZone: number,
    reclaimableLimit: number,
): readonly Batch[] => {
    const zoneCounts = new Map<string, number>();
    let reclaimableCount = 0;
    let takenCount = 0;
    return batches.map(batch => {
        const { availabilityZone, reclaimable } = batch.option.choice;
        const zoneCount = zoneCounts.get(availabilityZone) ?? 0;
        const shareLeft = reclaimable ? reclaimableLimit - reclaimableCount : Infinity;
        const count = Math.min(batch.count, total - takenCount, perZone - zoneCount, shareLeft);
        takenCount += count;
        reclaimableCount += reclaimable ? count : 0;
        zoneCounts.set(availabilityZone, zoneCount + count);
        return { ...batch, count };
    });
};

const countOf = (batches: readonly Batch[]): number => batches.reduce((sum, { count }) => sum + count, 0);

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
        .map(penalty => takeCheapest(listBatches(options, context, perZone, penalty), total, perZone, reclaimableLimit))
        .filter(batches => countOf(batches) === total)
        .map(batches => ({
            batches,
            price: batches.reduce((sum, { price, count }) => sum + price * count, 0),
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
    const best = classes
        .flatMap(name => candidatesOfClass(options.filter(({ choice }) => choice.machineClass === name), context))
        .reduce<Candidate | undefined>(
            (cheapest, candidate) => cheapest === undefined || candidate.price < cheapest.price ? candidate : cheapest,
            undefined,
        );
    return best?.batches.flatMap(({ option, count }) => Array<ReplicaOption>(count).fill(option));
};
