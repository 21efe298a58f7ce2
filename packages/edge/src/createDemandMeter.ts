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

/** Time constant of the average: several times the boot time of an engine. */
const AVERAGING_TIME_MS = 15_000;

/** Time for which a peak is held: it may recur sooner than engines that were stopped could boot again. */
const PEAK_HOLD_MS = 10_000;

/** Assumed ratio of average to peak work of an already running fleet: the average is a third below the peak. */
const INITIAL_AVERAGE_SHARE = 2 / 3;

/** Work below this many busy engines counts as no load. */
const MINIMUM_BUSY = 0.1;

/** Creates a meter without observations. */
export const createDemandMeter = (clock: Clock): DemandMeter => {
    const services = new Map<ServiceName, Demand>();
    const initialRunning = new Map<ServiceName, RunningUpstreams>();

    /**
     * Assumes, until work is observed, that an already running fleet is sized for its load. The first observed size is
     * kept, so that this host's own scale requests do not change the estimate.
     */
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
            // The average decays more slowly than the peak and must not outlast it with the value initially assumed.
            demand.averageBusy = Math.min(demand.averageBusy, demand.peakBusy);
            services.set(service, demand);
            return { averageBusy: demand.averageBusy, currentBusy: busyUpstreams, peakBusy: demand.peakBusy };
        },
    };
};
