import type { Peer } from "@ibislanding/discovery";
import type { HostEntry } from "./hostEntry";

/** Maximum number of hosts in a group, which bounds the calls that its collector receives. */
const MAXIMUM_GROUP_SIZE = 64;

const compareText = (left: string, right: string): number => left < right ? -1 : Number(left > right);

/**
 * Divides hosts into groups of one availability zone each. The hosts of a group are listed with the most capable ones
 * first, as a collector does the work of several hosts.
 */
export const assignPeerGroups = (hosts: readonly HostEntry[]): readonly Peer[] => {
    const ordered = [...hosts].sort((left, right) =>
        right.cores - left.cores || compareText(left.address, right.address)
    );
    return [...new Set(ordered.map(({ availabilityZone }) => availabilityZone))].flatMap(zone => {
        const zoneHosts = ordered.filter(({ availabilityZone }) => availabilityZone === zone);
        const groupCount = Math.ceil(zoneHosts.length / MAXIMUM_GROUP_SIZE);
        return zoneHosts.map(({ address }, index) => ({ address, group: `${zone}/${index % groupCount}` }));
    });
};
