/** Fraction of the hosts that this host can reach. */
export interface ReachableShare {
    /** Records a report of a host, or a summary that contains the state of several hosts. */
    readonly observe: (hostName: string, hostCount: number) => void;
    /** Fraction of the limits that belongs to the hosts that are reachable, including this one. */
    readonly share: () => number;
}
