import type { AvailabilityZone, Clock, ServiceName } from "@ibislanding/core";
import type { ZoneForecast } from "./zoneForecast";

interface Sample {
    readonly atMs: number;
    /** Demand as observed, and as it was without the averaging; undefined without a sample to compare with. */
    readonly zones: ReadonlyMap<AvailabilityZone, { readonly observed: number; readonly actual: number | undefined; }>;
}

/** Time over which the trend is measured: several reports of each zone, and a fraction of a wave. */
const TREND_MS = 2_000;

/** Time constant with which hosts average their demand; the average of a wave lags behind it by several seconds. */
const AVERAGING_TIME_MS = 5_000;

/** Usual age of a report. */
const REPORT_AGE_MS = 1_000;

/** Upper bound of a forecast, as a multiple of the current demand plus one engine. */
const MAXIMUM_GROWTH = 2;

/**
 * Creates a forecast without observations. It removes the averaging and continues the trend of the last two seconds.
 *
 * Handles waves of demand that pass from zone to zone: an engine that is ordered where demand is now has started when the wave
 * has left.
 */
export const createZoneForecast = (clock: Clock): ZoneForecast => {
    const samplesByService = new Map<ServiceName, readonly Sample[]>();

    return {
        observe: (service, busyByZone, bootMs) => {
            const nowMs = clock.monotonicMs();
            const known = samplesByService.get(service) ?? [];
            const before = known.findLast(({ atMs }) => atMs <= nowMs - TREND_MS);
            const perMs = (value: number, earlier: number | undefined): number =>
                before === undefined || earlier === undefined ? 0 : (value - earlier) / (nowMs - before.atMs);
            const zones = new Map([...busyByZone].map(([zone, observed]) => {
                const earlier = before?.zones.get(zone)?.observed;
                const actual = earlier === undefined
                    ? undefined
                    : Math.max(0, observed + perMs(observed, earlier) * AVERAGING_TIME_MS);
                return [zone, { observed, actual }] as const;
            }));
            samplesByService.set(service, [
                ...known.filter(({ atMs }) => atMs >= (before?.atMs ?? 0)),
                { atMs: nowMs, zones },
            ]);
            return new Map([...zones].flatMap(([zone, { actual }]) => {
                const earlier = before?.zones.get(zone)?.actual;
                if (actual === undefined || earlier === undefined) {
                    return [];
                }
                const expectedBusy = actual + perMs(actual, earlier) * (bootMs + REPORT_AGE_MS);
                const boundedBusy = Math.min(actual * MAXIMUM_GROWTH + 1, Math.max(0, expectedBusy));
                return [[zone, { currentBusy: actual, expectedBusy: boundedBusy }] as const];
            }));
        },
    };
};
