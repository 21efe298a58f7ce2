import { choosePlacement } from "./choosePlacement";
import { countChoices } from "./countChoices";
import type { PlacementRequirement } from "./placementRequirement";
import type { PlacementTarget } from "./placementTarget";
import type { ReplicaOption } from "./replicaOption";
import { replicasNeeded } from "./replicasNeeded";

const descending = (from: number, to: number): readonly number[] =>
    Array.from({ length: Math.max(0, from - to + 1) }, (_, index) => from - index);

/** Returns the first defined result; later inputs are not computed. */
const firstDefined = <T, R>(inputs: readonly T[], compute: (input: T) => R | undefined): R | undefined => {
    let result: R | undefined;
    inputs.some(input => (result = compute(input)) !== undefined);
    return result;
};

/**
 * Finds the cheapest replicas that meet the requirement. When no placement meets it, the number of spare zones is
 * reduced step by step; when the demand cannot be met even without spare zones, the target is the largest possible
 * number of replicas, up to the number that the demand or `minimumReplicas` requires.
 */
export const findPlacementTarget = (
    options: readonly ReplicaOption[],
    requirement: PlacementRequirement,
    existing: readonly ReplicaOption[],
    minimumSavingShare: number,
): PlacementTarget => {
    const counts = countChoices(existing.map(option => option.choice));
    const choose = (changed: Partial<PlacementRequirement>): readonly ReplicaOption[] | undefined =>
        choosePlacement(options, {
            requirement: { ...requirement, ...changed },
            existing: counts,
            minimumSavingShare,
        });

    const complete = firstDefined(descending(requirement.spareZones, 0), spareZones => {
        const replicas = choose({ spareZones });
        return replicas === undefined ? undefined : { replicas, spareZones };
    });
    if (complete !== undefined) {
        return complete;
    }
    const neededReplicas = Math.max(requirement.minimumReplicas, replicasNeeded(options, requirement.demand));
    const demand = { concurrentSequences: 0, prefillTokensPerSecond: 0 };
    const replicas = firstDefined(
        descending(Math.min(requirement.maximumReplicas, neededReplicas), 1),
        minimumReplicas => choose({ demand, spareZones: 0, minimumReplicas }),
    );
    return { replicas: replicas ?? existing, spareZones: undefined };
};
