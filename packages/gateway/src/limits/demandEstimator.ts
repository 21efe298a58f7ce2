/** Rate at which requests of one account ask for units, at all hosts together. */
export interface DemandEstimator {
    /**
     * Counts a request of this host, whether or not it is admitted. The dispersion of the sizes of requests is their mean
     * square divided by their mean.
     */
    readonly addOwn: (units: number, dispersionUnits: number) => void;
    /**
     * Counts what a report adds to the units that peers admitted or refused; `ageMs` is the mean time since the requests. An early report
     * comes from the own collector, or in a small group from the peer itself; others were relayed.
     */
    readonly addPeers: (units: number, ageMs: number, isEarly: boolean) => void;
    /** Share of this host in the units that are asked for at all hosts, over some seconds. */
    readonly ownShare: () => number;
    /** Units per millisecond that requests at this host ask for. */
    readonly ownPerMs: () => number;
    /** Units per millisecond that requests at all peers ask for, as of their reports, less a decrease that is known since. */
    readonly peersPerMs: () => number;
    /** Factor of at least 1 by which the demand at the peers has presumably grown since their reports. */
    readonly growth: () => number;
    /**
     * Standard deviation of the estimated units per millisecond, if the demand is as given and requests arrive independently
     * of each other.
     */
    readonly deviationPerMs: (demandPerMs: number) => number;
}
