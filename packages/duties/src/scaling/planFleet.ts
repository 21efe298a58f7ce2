import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import { staffing } from "./staffing";
import type { ZoneTarget } from "./zoneTarget";

/**
 * Part of the reclaimable upstreams that is left when a wave of reclaims has taken a zone and its neighbour, of three:
 * upstreams ordered after the first loss are there before a third one.
 */
const SURVIVING_SHARE = 1 / 3;

/** On-demand upstreams whatever the load: the loss of one leaves another. */
const LEAST_SURVIVORS = 2;

const byPrice = (zones: readonly FleetZone[]): readonly FleetZone[] =>
    [...zones].sort((left, right) => left.price - right.price);

/** Adds engines one at a time where the given count is lowest, cheapest zone first. */
const distribute = (
    zones: readonly FleetZone[],
    total: number,
    capacity: (zone: FleetZone) => number,
): ReadonlyMap<FleetZone, number> => {
    const counts = new Map(zones.map(zone => [zone, 0]));
    Array.from({ length: total }).forEach(() => {
        const open = byPrice(zones).filter(zone => (counts.get(zone) ?? 0) < capacity(zone));
        const next = open.reduce<FleetZone | undefined>(
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
const shortage = ({ zones, currentBusy }: FleetState, survivors: number): number => {
    if (!zones.some(({ isReclaimableRefused }) => isReclaimableRefused)) {
        return 0;
    }
    const running = zones.reduce((sum, { reclaimable }) => sum + reclaimable, 0);
    const afterNextReclaim = running - Math.max(...zones.map(({ reclaimable }) => reclaimable));
    return Math.max(
        0,
        staffing.enginesInShortage(currentBusy) - survivors - running,
        Math.ceil(currentBusy) - survivors - afterNextReclaim,
    );
};

/** On-demand upstreams that carry the average load together with the reclaimable ones that a wave leaves. */
const survivorsOf = (wanted: number, averageBusy: number): number =>
    Math.max(LEAST_SURVIVORS, Math.ceil((averageBusy - wanted * SURVIVING_SHARE) / (1 - SURVIVING_SHARE)));

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
    const needed = Math.max(LEAST_SURVIVORS + zones.length, staffing.enginesAtPeak(peakBusy));
    const survivors = survivorsOf(needed, averageBusy);
    const onDemand = distribute(zones, survivors + shortage(state, survivors), () => maximum);
    const wanted = Math.max(needed, survivors + zones.length);
    const reclaimable = distribute(zones, wanted - survivors, zone => maximum - (onDemand.get(zone) ?? 0));
    return zones.map(zone => {
        const here = { onDemand: onDemand.get(zone) ?? 0, reclaimable: reclaimable.get(zone) ?? 0 };
        const missing = Math.max(0, minimum - here.onDemand - here.reclaimable);
        return { availabilityZone: zone.availabilityZone, ...here, onDemand: here.onDemand + missing };
    });
};
