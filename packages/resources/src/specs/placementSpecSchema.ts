import * as z from "zod";

const MAXIMUM_REPLICAS = 10_000;

/** Number and location of a service's replicas. */
export const placementSpecSchema = z.strictObject({
    service: z.string().min(1),
    minimumReplicas: z.int().min(0).max(MAXIMUM_REPLICAS).default(1),
    maximumReplicas: z.int().min(1).max(MAXIMUM_REPLICAS),
    /** Availability zones in order of preference; price decides first, this order between options of equal price. */
    availabilityZones: z.array(z.string().min(1)).min(1),
    machineClasses: z.array(z.string().min(1)).min(1),
    /** Largest share of the replicas that may run on reclaimable hosts. */
    reclaimableShare: z.number().min(0).max(1).default(0.5),
    /** Number of zones that may fail while the replicas in the other zones still carry the demand. */
    spareZones: z.int().min(0).max(5).default(1),
});
