import type { AvailabilityZone, Region, UpstreamId } from "@ibislanding/core";
import type { Scenario } from "../scenario/scenario";
import type { PlacedReplica } from "./placedReplica";

/** Rules by which replicas are given zones. */
type Placement = "even" | "cheapest-two-zones";

const selectZones = (scenario: Scenario, placement: Placement): Scenario["zones"] =>
    placement === "even"
        ? scenario.zones
        : [...scenario.zones].sort((left, right) => left.pricePerHour - right.pricePerHour).slice(0, 2);

/**
 * Gives each replica a zone and a kind of host. The declared part runs on reclaimable hosts; all zones take turns, or
 * the two cheapest ones, so that the loss of one zone leaves replicas in another.
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
