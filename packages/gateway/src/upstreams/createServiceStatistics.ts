import { type AvailabilityZone, median, type ServiceName } from "@ibislanding/core";
import type { UpstreamState } from "./upstreamState";

/** Medians over the upstreams of a service. */
interface ServiceStatistics {
    readonly slowdown: number;
    /** Undefined until a response time has been measured. */
    readonly responseMs: number | undefined;
    readonly roundTripMs: number;
    readonly roundTripMsByZone: ReadonlyMap<AvailabilityZone, number>;
}

const compute = (states: readonly UpstreamState[]): ServiceStatistics => {
    const slowdowns: number[] = [];
    const responses: number[] = [];
    const roundTrips: number[] = [];
    const roundTripsByZone = new Map<AvailabilityZone, number[]>();
    states.forEach(({ record, slowdown, responseMs, roundTripMs }) => {
        slowdowns.push(slowdown);
        if (responseMs !== undefined) {
            responses.push(responseMs);
        }
        if (roundTripMs !== undefined) {
            roundTrips.push(roundTripMs);
            const ofZone = roundTripsByZone.get(record.availabilityZone);
            if (ofZone === undefined) {
                roundTripsByZone.set(record.availabilityZone, [roundTripMs]);
            }
            else {
                ofZone.push(roundTripMs);
            }
        }
    });
    return {
        slowdown: median(slowdowns) ?? 1,
        responseMs: median(responses),
        roundTripMs: median(roundTrips) ?? 0,
        roundTripMsByZone: new Map([...roundTripsByZone].map(([zone, times]) => [zone, median(times) ?? 0])),
    };
};

/**
 * Creates the statistics of services. They are computed again only after `invalidate`, which must be called after every
 * change of an upstream's measurements and of the list of upstreams: each request reads them several times.
 */
export const createServiceStatistics = (statesOf: (service: ServiceName) => readonly UpstreamState[]) => {
    const known = new Map<ServiceName, ServiceStatistics>();
    return {
        of: (service: ServiceName): ServiceStatistics => {
            const statistics = known.get(service) ?? compute(statesOf(service));
            known.set(service, statistics);
            return statistics;
        },
        invalidate: (): void => known.clear(),
    };
};
