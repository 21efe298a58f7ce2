import { fleetSizing } from "./fleetSizing";
import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import type { ZoneTarget } from "./zoneTarget";

/**
 * Part of the reclaimable upstreams that is left when a wave of reclaims has taken a zone and its neighbour, of three:
 * upstreams ordered after the first loss are there before a third one.
 */
const SURVIVING_SHARE = 1 / 3;

/** On-demand upstreams whatever the load: the loss of one leaves another. */
const MINIMUM_ON_DEMAND = 2;

const sortByPrice = (zones: readonly FleetZone[]): readonly FleetZone[] =>
    [...zones].sort((left, right) => left.price - right.price);

/** Adds engines one at a time where the given count is lowest, cheapest zone first. */
const distribute = (
    zones: readonly FleetZone[],
    total: number,
    capacity: (zone: FleetZone) => number,
): ReadonlyMap<FleetZone, number> => {
    const counts = new Map(zones.map(zone => [zone, 0]));
    Array.from({ length: total }).forEach(() => {
        const zonesWithCapacity = sortByPrice(zones).filter(zone => (counts.get(zone) ?? 0) < capacity(zone));
        const next = zonesWithCapacity.reduce<FleetZone | undefined>(
            (best, zone) => best === undefined || (counts.get(zone) ?? 0) < (counts.get(best) ?? 0) ? zone : best,
            undefined,
        );
        if (next !== undefined) {
            counts.set(next, (counts.get(next) ?? 0) + 1);
        }
    });
    return counts;
};

/**
 * On-demand upstreams to add for reclaimable ones that the platform refuses: for the present load, and so that it is
 * carried after the next reclaim as well.
 */
const onDemandFallback = ({ zones, currentBusy }: FleetState, onDemandBase: number): number => {
    if (!zones.some(({ isReclaimableRefused }) => isReclaimableRefused)) {
        return 0;
    }
    const running = zones.reduce((sum, { reclaimable }) => sum + reclaimable, 0);
    const afterNextReclaim = running - Math.max(...zones.map(({ reclaimable }) => reclaimable));
    return Math.max(
        0,
        fleetSizing.enginesDuringShortage(currentBusy) - onDemandBase - running,
        Math.ceil(currentBusy) - onDemandBase - afterNextReclaim,
    );
};

/** On-demand upstreams that carry the average load together with the reclaimable ones that a wave leaves. */
const onDemandBaseOf = (total: number, averageBusy: number): number =>
    Math.max(MINIMUM_ON_DEMAND, Math.ceil((averageBusy - total * SURVIVING_SHARE) / (1 - SURVIVING_SHARE)));

/**
 * Plans a service's upstreams by availability zone and price class.
 *
 * Answers a load that jumps while the platform reclaims all reclaimable upstreams of one zone after the other and offers
 * no new ones: reclaimable upstreams, spread over all zones, keep prompts from waiting at peaks; as many on-demand ones
 * in the cheapest zones as carry the average load with what a wave leaves. While reclaimable ones are refused, on-demand
 * ones take their place.
 */
export const planFleet = (state: FleetState): readonly ZoneTarget[] => {
    const { zones, averageBusy, peakBusy, minimum, maximum } = state;
    const totalAtPeak = Math.max(MINIMUM_ON_DEMAND + zones.length, fleetSizing.enginesAtPeak(peakBusy));
    const onDemandBase = onDemandBaseOf(totalAtPeak, averageBusy);
    const onDemand = distribute(zones, onDemandBase + onDemandFallback(state, onDemandBase), () => maximum);
    const total = Math.max(totalAtPeak, onDemandBase + zones.length);
    const reclaimable = distribute(zones, total - onDemandBase, zone => maximum - (onDemand.get(zone) ?? 0));
    return zones.map(zone => {
        const counts = { onDemand: onDemand.get(zone) ?? 0, reclaimable: reclaimable.get(zone) ?? 0 };
        const missing = Math.max(0, minimum - counts.onDemand - counts.reclaimable);
        return { availabilityZone: zone.availabilityZone, ...counts, onDemand: counts.onDemand + missing };
    });
};
