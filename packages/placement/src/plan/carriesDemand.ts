import type { PlacementRequirement } from "./placementRequirement";
import type { ReplicaOption } from "./replicaOption";
import { survivingCapacity } from "./survivingCapacity";

/**
 * Returns whether the replicas reach the minimum number and carry the demand even after the loss of the spare zones.
 */
export const carriesDemand = (replicas: readonly ReplicaOption[], requirement: PlacementRequirement): boolean => {
    const capacity = survivingCapacity(replicas, requirement.spareZones);
    return replicas.length >= requirement.minimumReplicas
        && capacity.concurrentSequences >= requirement.demand.concurrentSequences
        && capacity.prefillTokensPerSecond >= requirement.demand.prefillTokensPerSecond;
};
