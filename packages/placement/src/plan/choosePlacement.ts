import { choiceKey } from "./choiceKey";
import type { PlacementRequirement } from "./placementRequirement";
import type { ReplicaOption } from "./replicaOption";
import { replicasNeeded } from "./replicasNeeded";

/** A number of replicas of the same option, either all existing or all new. */
interface ReplicaBatch {
    readonly option: ReplicaOption;
    readonly count: number;
    /** Price of one replica; existing replicas are discounted. */
    readonly pricePerHour: number;
    /** Price by which batches are ranked; includes a penalty for reclaimable hosts, whose share is limited. */
    readonly rankingPricePerHour: number;
}

interface PlacementCandidate {
    readonly batches: readonly ReplicaBatch[];
    readonly pricePerHour: number;
}

interface ChoiceContext {
    readonly requirement: PlacementRequirement;
    /** Number of existing replicas by choice key. */
    readonly existing: ReadonlyMap<string, number>;
    readonly minimumSavingShare: number;
}

const listBatches = (
    options: readonly ReplicaOption[],
    { existing, minimumSavingShare }: ChoiceContext,
    perZone: number,
    reclaimablePenalty: number,
): readonly ReplicaBatch[] =>
    options.flatMap((option): readonly ReplicaBatch[] => {
        const existingCount = Math.min(perZone, existing.get(choiceKey(option.choice)) ?? 0);
        const existingPricePerHour = option.pricePerHour * (1 - minimumSavingShare);
        const penalty = option.choice.reclaimable ? reclaimablePenalty : 0;
        return [
            {
                option,
                count: existingCount,
                pricePerHour: existingPricePerHour,
                rankingPricePerHour: existingPricePerHour + penalty,
            },
            {
                option,
                count: option.refused ? 0 : perZone - existingCount,
                pricePerHour: option.pricePerHour,
                rankingPricePerHour: option.pricePerHour + penalty,
            },
        ];
    }).filter(({ count }) => count > 0).sort((left, right) => left.rankingPricePerHour - right.rankingPricePerHour);

/** Takes the cheapest replicas within the limits per zone and for reclaimable hosts. */
const takeCheapest = (
    batches: readonly ReplicaBatch[],
    total: number,
    perZone: number,
    reclaimableLimit: number,
): readonly ReplicaBatch[] => {
    const zoneCounts = new Map<string, number>();
    let reclaimableCount = 0;
    let takenCount = 0;
    return batches.map(batch => {
        const { availabilityZone, reclaimable } = batch.option.choice;
        const zoneCount = zoneCounts.get(availabilityZone) ?? 0;
        const remainingReclaimable = reclaimable ? reclaimableLimit - reclaimableCount : Infinity;
        const count = Math.min(batch.count, total - takenCount, perZone - zoneCount, remainingReclaimable);
        takenCount += count;
        reclaimableCount += reclaimable ? count : 0;
        zoneCounts.set(availabilityZone, zoneCount + count);
        return { ...batch, count };
    });
};

const countOf = (batches: readonly ReplicaBatch[]): number => batches.reduce((sum, { count }) => sum + count, 0);

/** Returns the penalties at which a reclaimable and an on-demand option become equally expensive, and 0. */
const listReclaimablePenalties = (options: readonly ReplicaOption[]): readonly number[] => {
    const onDemand = options.filter(({ choice }) => !choice.reclaimable);
    const reclaimable = options.filter(({ choice }) => choice.reclaimable);
    const differences = onDemand.flatMap(left => reclaimable.map(right => left.pricePerHour - right.pricePerHour));
    return [...new Set([0, ...differences.filter(difference => difference > 0)])];
};

const listCandidatesForZoneLimit = (
    options: readonly ReplicaOption[],
    context: ChoiceContext,
    total: number,
    perZone: number,
): readonly PlacementCandidate[] => {
    const reclaimableLimit = Math.floor(total * context.requirement.reclaimableShare);
    return listReclaimablePenalties(options)
        .map(penalty => takeCheapest(listBatches(options, context, perZone, penalty), total, perZone, reclaimableLimit))
        .filter(batches => countOf(batches) === total)
        .map(batches => ({
            batches,
            pricePerHour: batches.reduce((sum, { pricePerHour, count }) => sum + pricePerHour * count, 0),
        }));
};

const listCandidatesForClass = (
    options: readonly ReplicaOption[],
    context: ChoiceContext,
): readonly PlacementCandidate[] => {
    const { requirement } = context;
    const needed = replicasNeeded(options, requirement.demand);
    const zones = new Set(options.map(({ choice }) => choice.availabilityZone)).size;
    const largest = Math.max(1, needed, requirement.minimumReplicas);
    const smallest = Math.max(1, Math.ceil(needed / Math.max(1, zones - requirement.spareZones)));
    return Array.from({ length: largest - smallest + 1 }, (_, index) => smallest + index).flatMap(perZone => {
        const withSpare = needed === 0 ? 0 : needed + requirement.spareZones * perZone;
        const total = Math.max(withSpare, requirement.minimumReplicas);
        return total > requirement.maximumReplicas ? [] : listCandidatesForZoneLimit(options, context, total, perZone);
    });
};

/**
 * Returns the cheapest replicas of one machine class that meet the requirement, or undefined when none do. The number
 * of replicas per zone is limited, so that losing `spareZones` zones loses at most that many replicas each; every such
 * limit is tried.
 */
export const choosePlacement = (
    options: readonly ReplicaOption[],
    context: ChoiceContext,
): readonly ReplicaOption[] | undefined => {
    const classes = [...new Set(options.map(({ choice }) => choice.machineClass))];
    const best = classes
        .flatMap(name => listCandidatesForClass(options.filter(({ choice }) => choice.machineClass === name), context))
        .reduce<PlacementCandidate | undefined>(
            (cheapest, candidate) =>
                cheapest === undefined || candidate.pricePerHour < cheapest.pricePerHour ? candidate : cheapest,
            undefined,
        );
    return best?.batches.flatMap(({ option, count }) => Array<ReplicaOption>(count).fill(option));
};
