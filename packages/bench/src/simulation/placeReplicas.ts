import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";
import type { Scenario } from "../scenario/scenario";
import type { PlacedReplica } from "./placedReplica";

/** Strategy for assigning replicas to availability zones. */
type Placement = "even" | "cheapest-two-zones";

const selectZones = (scenario: Scenario, placement: Placement): Scenario["zones"] =>
    placement === "even"
        ? scenario.zones
        : [...scenario.zones].sort((left, right) => left.pricePerHour - right.pricePerHour).slice(0, 2);

/**
 * Assigns each replica an availability zone and a kind of host. The configured share runs on reclaimable hosts. Zones
 * are assigned round-robin, over all zones or the two cheapest, so that replicas remain when one zone is lost.
 */
export const placeReplicas = (scenario: Scenario, placement: Placement): readonly PlacedReplica[] => {
    const zones = selectZones(scenario, placement);
    const reclaimableCount = Math.floor(scenario.replicas * scenario.reclaimableShare);
    return Array.from({ length: scenario.replicas }, (_, index) => {
        const zone = zones[index % zones.length] as Scenario["zones"][number];
        const reclaimable = index < reclaimableCount;
        return {
            upstreamId: `engine-${index}` as UpstreamId,
            kind: "engine",
            service: "service",
            region: zone.region as Region,
            availabilityZone: zone.availabilityZone as AvailabilityZone,
            machineClass: "standard",
            reclaimable,
            phase: "live",
            pricePerHour: reclaimable ? zone.reclaimablePricePerHour : zone.pricePerHour,
        };
    });
};
