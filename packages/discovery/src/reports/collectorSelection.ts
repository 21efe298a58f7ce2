import type { Peer } from "./peer";

/** Selects the collector of each group. */
export interface CollectorSelection {
    /** Replaces the hosts; those of a group are listed in order of preference. */
    readonly setHosts: (hosts: readonly Peer[]) => void;
    readonly groups: () => readonly string[];
    /** Addresses of a group's hosts in order of preference, without those that failed recently. */
    readonly candidates: (group: string) => readonly string[];
    readonly recordSuccess: (address: string) => void;
    readonly recordFailure: (address: string) => void;
}
