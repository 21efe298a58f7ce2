import type { Clock, ServiceName } from "@ibislanding/core";
import type { DemandMeter } from "./demandMeter";
import type { RunningUpstreams } from "./runningUpstreams";

interface Demand {
    averageBusy: number;
    averagedAtMs: number;
    peakBusy: number;
    peakAtMs: number;
}

/** Time over which the average is taken: several boots of an engine. */
const AVERAGE_MS = 15_000;

/** A peak may come back sooner than engines boot again after they were given up. */
const PEAK_HOLD_MS = 10_000;

/** Work of an engine assumed at the peak of a fleet that is found running: it is taken as right until its load was seen. */
const FOUND_BUSY_SHARE = 0.28;

/** Less work than this is no load yet. */
const LEAST_BUSY = 0.1;

/** Creates a meter that has seen nothing. */
export const createDemandMeter = (clock: Clock): DemandMeter => {
    const services = new Map<ServiceName, Demand>();

    /** The on-demand upstreams that are found are enough for the average. */
    const found = (busyUpstreams: number, { onDemand, reclaimable }: RunningUpstreams): Demand => {
        const peakBusy = Math.max(busyUpstreams, (onDemand + reclaimable) * FOUND_BUSY_SHARE);
        const averageBusy = Math.max(busyUpstreams, Math.min(onDemand, peakBusy));
        const nowMs = clock.monotonicMs();
        return { averageBusy, averagedAtMs: nowMs, peakBusy, peakAtMs: nowMs };
    };

    return {
        observe: (service, busyUpstreams, running) => {
            const nowMs = clock.monotonicMs();
            const known = services.get(service);
            if (known === undefined && busyUpstreams < LEAST_BUSY) {
                return { ...found(busyUpstreams, running), currentBusy: busyUpstreams };
            }
            const demand = known ?? found(busyUpstreams, running);
            const weight = 1 - Math.exp((demand.averagedAtMs - nowMs) / AVERAGE_MS);
            demand.averageBusy += (busyUpstreams - demand.averageBusy) * weight;
            demand.averagedAtMs = nowMs;
            if (busyUpstreams >= demand.peakBusy || nowMs - demand.peakAtMs > PEAK_HOLD_MS) {
                demand.peakBusy = busyUpstreams;
                demand.peakAtMs = nowMs;
            }
            services.set(service, demand);
            return { averageBusy: demand.averageBusy, currentBusy: busyUpstreams, peakBusy: demand.peakBusy };
        },
    };
};
