import type { UpstreamRecord } from "@ibislanding/platform";

/**
 * Selects the replicas of each service that this host uses: those with the lowest rank. Hosts spread evenly without
 * coordination, and few selections change when a replica is added or removed.
 */
export const selectSubset = (
    records: readonly UpstreamRecord[],
    subsetSize: number,
    rank: (record: UpstreamRecord) => number,
): readonly UpstreamRecord[] => {
    const services = new Set(records.map(({ service }) => service));
    return [...services].flatMap(service =>
        records
            .filter(record => record.service === service)
            .sort((left, right) => rank(left) - rank(right))
            .slice(0, subsetSize)
    );
};
