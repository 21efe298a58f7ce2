/** Rate at which requests of one account ask for units, at all hosts together. */
export interface DemandEstimator {
    /** Counts a request of this host, whether or not it is admitted. */
    readonly addOwn: (units: number) => void;
    /** Counts what a report adds to the known usage of peers; `ageMs` is the time since the report was created. */
    readonly addPeers: (admittedUnits: number, refusedUnits: number, ageMs: number) => void;
    /** Units per millisecond that requests at this host ask for. */
    readonly ownPerMs: () => number;
    /** Units per millisecond that requests at all peers presumably ask for now. */
    readonly peersPerMs: () => number;
    /** Units per millisecond that the peers admitted, as of their reports. */
    readonly admittedPerMs: () => number;
}
