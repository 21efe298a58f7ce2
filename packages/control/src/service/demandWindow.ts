import type { ServiceDemand } from "@ibislanding/placement";

/** Demand of a service over the recent past. */
export interface DemandWindow {
    readonly record: (demand: ServiceDemand, nowMs: number) => void;
    /** Highest demand of the last few reports. */
    readonly current: (nowMs: number) => ServiceDemand;
    /** Highest demand of the whole window; undefined until it is covered. */
    readonly recentPeak: (nowMs: number) => ServiceDemand | undefined;
}
