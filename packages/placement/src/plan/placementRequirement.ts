import type { ServiceDemand } from "./serviceDemand";

/** What a set of replicas must satisfy. */
export interface PlacementRequirement {
    readonly demand: ServiceDemand;
    readonly minimumReplicas: number;
    readonly maximumReplicas: number;
    readonly reclaimableShare: number;
    /** Zones whose loss the remaining replicas must carry. */
    readonly spareZones: number;
}
