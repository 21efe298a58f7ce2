import type { ReplicaChoice } from "./replicaChoice";

/** Returns a text that is equal for equal choices. */
export const choiceKey = ({ availabilityZone, machineClass, reclaimable }: ReplicaChoice): string =>
    `${availabilityZone}/${machineClass}/${reclaimable ? "reclaimable" : "on-demand"}`;
