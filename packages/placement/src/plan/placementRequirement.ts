import type { ServiceDemand } from "./serviceDemand";

/** Requirement on a set of replicas. */
export interface PlacementRequirement {
    readonly demand: ServiceDemand;
    readonly minimumReplicas: number;
    readonly maximumReplicas: number;
    readonly reclaimableShare: number;
    /** Number of availability zones that may be lost while the remaining replicas still carry the demand. */
    readonly spareZones: number;
}
