/** Status of a resource, as stored under `status/<Kind>/<name>` and shown by the administration API. */
export interface StatusRecord {
    /** Generation of the spec that the status describes. */
    readonly observedGeneration: number;
    readonly conditions: readonly {
        readonly type: "Ready" | "SurvivesZoneLoss";
        readonly status: "True" | "False" | "Unknown";
        readonly reason: string;
        readonly changedAtMs: number;
    }[];
    readonly zones: readonly {
        readonly availabilityZone: string;
        readonly starting: number;
        readonly live: number;
        readonly draining: number;
    }[];
}
