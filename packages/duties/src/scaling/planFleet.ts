import type { FleetState } from "./fleetState";
import type { FleetZone } from "./fleetZone";
import type { ZoneTarget } from "./zoneTarget";

/** Work of an engine up to which prompts wait little behind others and running answers keep their pace. */
const TARGET_BUSY_SHARE = 0.4;

/** Work of the on-demand engines while all reclaimable ones are gone; latency suffers but little is refused. */
const SURVIVAL_BUSY_SHARE = 0.8;

/** Work of the engines up to which on-demand ones are added while reclaimable ones are refused. */
const SHORTAGE_BUSY_SHARE = 0.7;

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
const shortage = (zones: readonly FleetZone[], busyUpstreams: number, survivors: number): number => {
    if (!zones.some(({ isReclaimableRefused }) => isReclaimableRefused)) {
        return 0;
    }
    const running = zones.reduce((sum, { reclaimable }) => sum + reclaimable, 0);
    return Math.max(0, Math.ceil(busyUpstreams / SHORTAGE_BUSY_SHARE) - survivors - running);
};

/**
 * Plans a service's upstreams by availability zone and price class.
 *
 * Answers a load that jumps while the platform reclaims all reclaimable upstreams of a zone and offers no new ones:
 * on-demand upstreams, at least one in each zone, carry the recent peak almost without refusals; reclaimable ones on
 * top, at least one in each zone, keep prompts from waiting and are spread so that one reclaim takes only a part of
 * them. While reclaimable ones are refused, on-demand ones take their place.
 */
export const planFleet = ({ zones, busyUpstreams, minimum, maximum }: FleetState): readonly ZoneTarget[] => {
    const survivors = Math.max(zones.length * Math.max(1, minimum), Math.ceil(busyUpstreams / SURVIVAL_BUSY_SHARE));
    const onDemand = distribute(zones, survivors + shortage(zones, busyUpstreams, survivors), () => maximum);
    const wanted = Math.max(survivors + zones.length, Math.ceil(busyUpstreams / TARGET_BUSY_SHARE));
    const reclaimable = distribute(
        zones,
        wanted - survivors,
        zone => maximum - (onDemand.get(zone) ?? 0),
    );
    return zones.map(zone => ({
        availabilityZone: zone.availabilityZone,
        onDemand: onDemand.get(zone) ?? 0,
        reclaimable: reclaimable.get(zone) ?? 0,
    }));
};
