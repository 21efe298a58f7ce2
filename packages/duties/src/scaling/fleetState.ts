import type { FleetZone } from "./fleetZone";

/** What the plan of a service's fleet depends on. */
export interface FleetState {
    readonly zones: readonly FleetZone[];
    /** Engines that the work of the last quarter of a minute kept busy; 2.5 is two and a half engines. */
    readonly averageBusy: number;
    /** The same for the last few seconds. */
    readonly currentBusy: number;
    /** The same for the recent peak. */
    readonly peakBusy: number;
    /** Bounds in each zone. */
    readonly minimum: number;
    readonly maximum: number;
}
