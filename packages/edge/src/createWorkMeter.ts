import { type Clock, createRateMeter, type RateMeter, type ServiceName } from "@ibislanding/core";
import type { WorkMeter } from "./workMeter";

/** Time constant of the average: long compared to single prompts, short compared to the boot time of an engine. */
const AVERAGING_TIME_MS = 5_000;

/** Creates an idle meter. */
export const createWorkMeter = (clock: Clock): WorkMeter => {
    const meters = new Map<ServiceName, RateMeter>();
    return {
        add: (service, workMs) => {
            const meter = meters.get(service) ?? createRateMeter(AVERAGING_TIME_MS);
            meter.add(workMs, clock.monotonicMs());
            meters.set(service, meter);
        },
        // Milliseconds of work per millisecond equal the number of busy engines.
        busyUpstreams: () =>
            new Map([...meters].map(([service, meter]) => [service, meter.ratePerMs(clock.monotonicMs())])),
    };
};
