/** Seeded input of a run of several ledgers that share a store. */
export interface Scenario {
    readonly seed: number;
    readonly hostCount: number;
    /** Percentage of the calls to the store, to peers and to the upstream with an injected fault. */
    readonly faultPercent: number;
    readonly attempts: readonly {
        readonly atMs: number;
        readonly host: number;
        readonly account: number;
        readonly key: number;
        readonly otherBody: boolean;
    }[];
    readonly events: readonly {
        readonly atMs: number;
        readonly host: number;
        readonly kind: "crash" | "pause" | "resume" | "outage" | "outageEnd" | "jumpClock";
    }[];
}
