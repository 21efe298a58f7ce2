import type { ReplicaOption } from "./replicaOption";

/** Replicas to aim at, and how much of the requirement they meet. */
export interface PlacementTarget {
    readonly replicas: readonly ReplicaOption[];
    /** Zones whose loss the target survives; undefined when it doesn't carry the demand at all. */
    readonly spareZones: number | undefined;
}
