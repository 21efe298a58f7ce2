/** One seeded run of several ledgers over one store. */
export interface Scenario {
    readonly seed: number;
    readonly hostCount: number;
    /** Part of the calls to the store, to peers and to the upstream that meet a fault, in percent. */
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
