import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import type { ZoneTarget } from "./zoneTarget";

/** Work of an engine at the peak up to which prompts wait little behind others and running answers keep their pace. */
const TARGET_BUSY_SHARE = 0.3;

/** Work of the on-demand engines at average load while all reclaimable ones are gone. */
const SURVIVAL_BUSY_SHARE = 1;

/** Present work of the engines up to which on-demand ones are added while reclaimable ones are refused. */
const SHORTAGE_BUSY_SHARE = 0.4;

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

/** On-demand upstreams to add for reclaimable ones that the platform refuses. */
const shortage = ({ zones, currentBusy }: FleetState, survivors: number): number => {
    if (!zones.some(({ isReclaimableRefused }) => isReclaimableRefused)) {
        return 0;
    }
    const running = zones.reduce((sum, { reclaimable }) => sum + reclaimable, 0);
    return Math.max(0, Math.ceil(currentBusy / SHORTAGE_BUSY_SHARE) - survivors - running);
};

/**
 * Plans a service's upstreams by availability zone and price class.
 *
 * Answers a load that jumps while the platform reclaims all reclaimable upstreams of a zone and offers no new ones: a
 * few on-demand upstreams in the cheapest zones carry the average load; reclaimable ones on top keep prompts from
 * waiting at peaks and are spread over all zones, so that one reclaim takes only a part of them. While reclaimable ones
 * are refused, on-demand ones take their place.
 */
export const planFleet = (state: FleetState): readonly ZoneTarget[] => {
    const { zones, averageBusy, peakBusy, minimum, maximum } = state;
    const survivors = Math.max(LEAST_SURVIVORS, Math.ceil(averageBusy / SURVIVAL_BUSY_SHARE));
    const onDemand = distribute(zones, survivors + shortage(state, survivors), () => maximum);
    const wanted = Math.max(survivors + zones.length, Math.ceil(peakBusy / TARGET_BUSY_SHARE));
    const reclaimable = distribute(zones, wanted - survivors, zone => maximum - (onDemand.get(zone) ?? 0));
    return zones.map(zone => {
        const here = { onDemand: onDemand.get(zone) ?? 0, reclaimable: reclaimable.get(zone) ?? 0 };
        const missing = Math.max(0, minimum - here.onDemand - here.reclaimable);
        return { availabilityZone: zone.availabilityZone, ...here, onDemand: here.onDemand + missing };
    });
};
