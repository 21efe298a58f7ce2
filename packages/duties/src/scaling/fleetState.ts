import type { FleetZone } from "./fleetZone";

/** Inputs for planning the fleet of a service. */
export interface FleetState {
    readonly zones: readonly FleetZone[];
    /** Number of busy engines, averaged exponentially with a time constant of 15 seconds; 2.5 is two and a half. */
    readonly averageBusy: number;
    /** Number of busy engines, averaged over the last few seconds. */
    readonly currentBusy: number;
    /** Number of busy engines at the recent peak. */
    readonly peakBusy: number;
    /** Bounds on the number of upstreams in each availability zone. */
    readonly minimum: number;
    readonly maximum: number;
}
