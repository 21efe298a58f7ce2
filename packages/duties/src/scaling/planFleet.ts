import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import type { ZoneTarget } from "./zoneTarget";

/** Work of an engine up to which prompts wait little behind others. */
const TARGET_BUSY_SHARE = 0.45;

/** Work of the on-demand engines while all reclaimable ones are gone; latency suffers but nothing is refused. */
const SURVIVAL_BUSY_SHARE = 0.9;

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
 * Plans a service's upstreams by availability zone and price class.
 *
 * Answers a load that jumps while the platform reclaims all reclaimable upstreams of a zone and offers no new ones:
 * on-demand upstreams, at least one in each zone, carry the recent peak without refusals; reclaimable ones on top keep
 * prompts from waiting, and are spread over the zones so that one reclaim takes only a part of them.
 */
export const planFleet = ({ zones, busyUpstreams, minimum, maximum }: FleetState): readonly ZoneTarget[] => {
    const survivors = Math.max(zones.length * Math.max(1, minimum), Math.ceil(busyUpstreams / SURVIVAL_BUSY_SHARE));
    const onDemand = distribute(zones, survivors, () => maximum);
    const wanted = Math.ceil(busyUpstreams / TARGET_BUSY_SHARE) + zones.length;
    const reclaimable = distribute(
        zones,
        Math.max(0, wanted - survivors),
        zone => maximum - (onDemand.get(zone) ?? 0),
    );
    return zones.map(zone => ({
        availabilityZone: zone.availabilityZone,
        onDemand: onDemand.get(zone) ?? 0,
        reclaimable: reclaimable.get(zone) ?? 0,
    }));
};
