import { fleetSizing } from "./fleetSizing";
import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import { moveTowardsDemand } from "./moveTowardsDemand";
import type { ZoneTarget } from "./zoneTarget";

/**
 * Fraction of the reclaimable upstreams that remains after a wave of reclaims has removed those of two of three zones:
 * upstreams requested after the first loss are running before a third loss.
 */
const SURVIVING_SHARE = 1 / 3;

/** On-demand upstreams at any load: after the loss of one, another remains. */
const MINIMUM_ON_DEMAND = 2;

const sortByPrice = (zones: readonly FleetZone[]): readonly FleetZone[] =>
    [...zones].sort((left, right) => left.price - right.price);

/** Whether the demand of each zone is known. */
const isDemandKnown = (zones: readonly FleetZone[]): boolean =>
    zones.length > 0 && zones.every(({ demand }) => demand !== undefined);

/** Distributes upstreams one at a time to the zone with the fewest of them, the cheapest first among equals. */
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
 * On-demand upstreams to add in place of reclaimable ones that the platform refuses: enough for the current load, also
 * after the next reclaim.
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

/** On-demand upstreams that carry the average load together with the reclaimable ones that remain after a wave. */
const onDemandBaseOf = (total: number, averageBusy: number): number =>
    Math.max(MINIMUM_ON_DEMAND, Math.ceil((averageBusy - total * SURVIVING_SHARE) / (1 - SURVIVING_SHARE)));

/**
 * Plans a service's upstreams by availability zone and price class.
 *
 * Designed for sudden load changes while the platform reclaims all reclaimable upstreams of one zone after the other
 * and offers no new ones. Reclaimable upstreams, spread over all zones, keep prompts from queueing at peaks. On-demand
 * ones, in the cheapest zones, carry the average load together with the reclaimable ones that remain after a wave of
 * reclaims. Where the demand of zones is known, new reclaimable ones are added where it will be when they have started. While
 * requests for reclaimable upstreams are refused, on-demand ones replace them.
 */
export const planFleet = (state: FleetState): readonly ZoneTarget[] => {
    const { zones, averageBusy, peakBusy, minimum, maximum } = state;
    const totalAtPeak = Math.max(MINIMUM_ON_DEMAND + zones.length, fleetSizing.enginesAtPeak(peakBusy));
    const onDemandBase = onDemandBaseOf(totalAtPeak, averageBusy);
    const onDemand = distribute(zones, onDemandBase + onDemandFallback(state, onDemandBase), () => maximum);
    const total = Math.max(totalAtPeak, onDemandBase + zones.length);
    const capacity = (zone: FleetZone): number => maximum - (onDemand.get(zone) ?? 0);
    const reclaimable = isDemandKnown(zones)
        ? moveTowardsDemand(zones, total - onDemandBase, zone => zone.orderedReclaimable ?? zone.reclaimable, capacity)
        : distribute(zones, total - onDemandBase, capacity);
    return zones.map(zone => {
        const counts = { onDemand: onDemand.get(zone) ?? 0, reclaimable: reclaimable.get(zone) ?? 0 };
        const missing = Math.max(0, minimum - counts.onDemand - counts.reclaimable);
        return { availabilityZone: zone.availabilityZone, ...counts, onDemand: counts.onDemand + missing };
    });
};
