import type { UpstreamRecord } from "@ibislanding/platform";

/**
 * Chooses the replicas of each service that this host uses: the first by rank, so that hosts spread evenly without
 * talking, and few change when a replica comes or goes.
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
