import type { FleetZone } from "./fleetZone";

/** Inputs for planning the fleet of a service. */
export interface FleetState {
    readonly zones: readonly FleetZone[];
    /** Mean number of busy engines over the last 15 seconds; 2.5 is two and a half engines. */
    readonly averageBusy: number;
    /** Mean number of busy engines over the last few seconds. */
    readonly currentBusy: number;
    /** Number of busy engines at the recent peak. */
    readonly peakBusy: number;
    /** Bounds on the number of upstreams in each availability zone. */
    readonly minimum: number;
    readonly maximum: number;
}
