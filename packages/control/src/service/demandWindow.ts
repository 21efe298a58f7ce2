import type { ServiceDemand } from "@ibislanding/placement";

/** Sliding window over the demand of a service. */
export interface DemandWindow {
    readonly record: (demand: ServiceDemand, nowMs: number) => void;
    /** Maximum demand of the short period that ends now. */
    readonly current: (nowMs: number) => ServiceDemand;
    /** Maximum demand of the whole window; undefined until samples cover it. */
    readonly recentPeak: (nowMs: number) => ServiceDemand | undefined;
}
