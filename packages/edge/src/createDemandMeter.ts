import type { Clock, ServiceName } from "@ibislanding/core";
import { fleetSizing } from "@ibislanding/duties";
import type { DemandMeter } from "./demandMeter";
import type { RunningUpstreams } from "./runningUpstreams";

interface Demand {
    averageBusy: number;
    averagedAtMs: number;
    peakBusy: number;
    peakAtMs: number;
}

/** Time over which the average is taken: several boots of an engine. */
const AVERAGING_TIME_MS = 15_000;

/** A peak may come back sooner than engines boot again after they were given up. */
const PEAK_HOLD_MS = 10_000;

/** Average work of a fleet that is found running, against its peak: of a load that swings by a third around it. */
const INITIAL_AVERAGE_SHARE = 2 / 3;

/** Less work than this is no load yet. */
const MINIMUM_BUSY = 0.1;

/** Creates a meter that has seen nothing. */
export const createDemandMeter = (clock: Clock): DemandMeter => {
    const services = new Map<ServiceName, Demand>();
    const initialRunning = new Map<ServiceName, RunningUpstreams>();

    /** A fleet that is found is taken as right for its load until that is seen; orders of our own do not change that. */
    const estimateInitialDemand = (service: ServiceName, busyUpstreams: number, running: RunningUpstreams): Demand => {
        const { onDemand, reclaimable } = initialRunning.get(service) ?? running;
        initialRunning.set(service, { onDemand, reclaimable });
        const peakBusy = Math.max(busyUpstreams, fleetSizing.busyAtPeak(onDemand + reclaimable));
        const averageBusy = Math.max(busyUpstreams, Math.min(onDemand, peakBusy * INITIAL_AVERAGE_SHARE));
        const nowMs = clock.monotonicMs();
        return { averageBusy, averagedAtMs: nowMs, peakBusy, peakAtMs: nowMs };
    };

    return {
        observe: (service, busyUpstreams, running) => {
            const nowMs = clock.monotonicMs();
            const known = services.get(service);
            if (known === undefined && busyUpstreams < MINIMUM_BUSY) {
                return { ...estimateInitialDemand(service, busyUpstreams, running), currentBusy: busyUpstreams };
            }
            const demand = known ?? estimateInitialDemand(service, busyUpstreams, running);
            const weight = 1 - Math.exp((demand.averagedAtMs - nowMs) / AVERAGING_TIME_MS);
            demand.averageBusy += (busyUpstreams - demand.averageBusy) * weight;
            demand.averagedAtMs = nowMs;
            if (busyUpstreams >= demand.peakBusy || nowMs - demand.peakAtMs > PEAK_HOLD_MS) {
                demand.peakBusy = busyUpstreams;
                demand.peakAtMs = nowMs;
            }
            // The average is slower than the peak to forget what was assumed for a found fleet.
            demand.averageBusy = Math.min(demand.averageBusy, demand.peakBusy);
            services.set(service, demand);
            return { averageBusy: demand.averageBusy, currentBusy: busyUpstreams, peakBusy: demand.peakBusy };
        },
    };
};
