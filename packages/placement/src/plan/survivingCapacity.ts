import type { ReplicaOption } from "./replicaOption";
import type { ServiceDemand } from "./serviceDemand";

const survivingSum = (
    options: readonly ReplicaOption[],
    spareZones: number,
    capacityOf: (option: ReplicaOption) => number,
): number => {
    const byZone = options.reduce((sums, option) => {
        const zone = option.choice.availabilityZone;
        return sums.set(zone, (sums.get(zone) ?? 0) + capacityOf(option));
    }, new Map<string, number>());
    const ascending = [...byZone.values()].sort((left, right) => left - right);
    return ascending.slice(0, Math.max(0, ascending.length - spareZones)).reduce((sum, value) => sum + value, 0);
};

/**
 * Returns the capacity that remains after the loss of the `spareZones` zones with the most capacity, which are
 * determined separately for sequences and for prefill.
 */
export const survivingCapacity = (options: readonly ReplicaOption[], spareZones: number): ServiceDemand => ({
    concurrentSequences: survivingSum(options, spareZones, option => option.concurrentSequences),
    prefillTokensPerSecond: survivingSum(options, spareZones, option => option.prefillTokensPerSecond),
});
