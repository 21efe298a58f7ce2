import * as z from "zod";

/** Capacity and price of a class of upstream hosts. */
export const machineClassSpecSchema = z.strictObject({
    /** Prompt tokens a replica processes per second. */
    prefillTokensPerSecond: z.number().positive(),
    /** Sequences a replica can run concurrently within the latency target. */
    concurrentSequences: z.int().min(1),
    /** Price of an on-demand host per hour. */
    pricePerHour: z.number().min(0),
    /** Price of a reclaimable host per hour. */
    reclaimablePricePerHour: z.number().min(0),
    /** Price per gigabyte of traffic that leaves a region. */
    crossRegionPricePerGigabyte: z.number().min(0).default(0),
    /** Prices of the zones that differ from the prices above. */
    zonePrices: z.array(z.strictObject({
        availabilityZone: z.string().min(1),
        pricePerHour: z.number().min(0),
        reclaimablePricePerHour: z.number().min(0),
    })).default([]),
});
