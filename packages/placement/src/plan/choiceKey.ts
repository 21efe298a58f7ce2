import type { ReplicaChoice } from "./replicaChoice";

/** Returns a key that identifies a choice by its zone, machine class and pricing model. */
export const choiceKey = ({ availabilityZone, machineClass, reclaimable }: ReplicaChoice): string =>
    `${availabilityZone}/${machineClass}/${reclaimable ? "reclaimable" : "on-demand"}`;
