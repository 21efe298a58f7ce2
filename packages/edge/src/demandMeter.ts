import type { ServiceName } from "@ibislanding/core";
import type { RunningUpstreams } from "./runningUpstreams";

/** Engines that the work of a service keeps busy, on average and at the recent peak. */
export interface DemandMeter {
    /** Takes the work of the last seconds and the number of upstreams that run now. */
    readonly observe: (
        service: ServiceName,
        busyUpstreams: number,
        running: RunningUpstreams,
    ) => { readonly averageBusy: number; readonly currentBusy: number; readonly peakBusy: number; };
}
