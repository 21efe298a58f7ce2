import type { ServiceName } from "@ibislanding/core";
import type { RunningUpstreams } from "./runningUpstreams";

/** Measures how many engines the work of a service keeps busy, on average and at the recent peak. */
export interface DemandMeter {
    /** Records the number of engines busy in the last seconds and of running upstreams; returns the updated demand. */
    readonly observe: (
        service: ServiceName,
        busyUpstreams: number,
        running: RunningUpstreams,
    ) => { readonly averageBusy: number; readonly currentBusy: number; readonly peakBusy: number; };
}
