import * as z from "zod";

/** Capacity and price of a class of upstream hosts. */
export const machineClassSpecSchema = z.strictObject({
    /** Prompt tokens a replica processes in a second. */
    prefillTokensPerSecond: z.number().positive(),
    /** Sequences that a replica runs at the same time within the latency target. */
    concurrentSequences: z.int().min(1),
    /** Price of an on-demand host an hour. */
    pricePerHour: z.number().min(0),
    /** Price of a reclaimable host an hour. */
    reclaimablePricePerHour: z.number().min(0),
    /** Price of one gigabyte that leaves a region. */
    crossRegionPricePerGigabyte: z.number().min(0).default(0),
    /** Zones whose prices differ. */
    zonePrices: z.array(z.strictObject({
        availabilityZone: z.string().min(1),
        pricePerHour: z.number().min(0),
        reclaimablePricePerHour: z.number().min(0),
    })).default([]),
});
