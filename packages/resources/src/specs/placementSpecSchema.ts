import * as z from "zod";

const MAXIMUM_REPLICAS = 10_000;

/** Where the replicas of a service should run, and how many. */
export const placementSpecSchema = z.strictObject({
    service: z.string().min(1),
    minimumReplicas: z.int().min(0).max(MAXIMUM_REPLICAS).default(1),
    maximumReplicas: z.int().min(1).max(MAXIMUM_REPLICAS),
    /** Availability zones in order of preference; prices decide among them. */
    availabilityZones: z.array(z.string().min(1)).min(1),
    machineClasses: z.array(z.string().min(1)).min(1),
    /** Greatest part of the replicas that may run on reclaimable hosts. */
    reclaimableShare: z.number().min(0).max(1).default(0.5),
    /** Zones whose loss the remaining replicas must carry. */
    spareZones: z.int().min(0).max(5).default(1),
});
