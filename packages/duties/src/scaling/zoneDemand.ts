/** Demand that hosts of an availability zone have, in busy engines. */
export interface ZoneDemand {
    readonly currentBusy: number;
    /** Demand when an engine that is ordered now has started. */
    readonly expectedBusy: number;
}
