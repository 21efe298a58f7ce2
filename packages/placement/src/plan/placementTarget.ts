import type { ReplicaOption } from "./replicaOption";

/** Target set of replicas, and the extent to which it meets the requirement. */
export interface PlacementTarget {
    readonly replicas: readonly ReplicaOption[];
    /** Number of zones whose loss the target tolerates; undefined when it cannot carry the demand at all. */
    readonly spareZones: number | undefined;
}
