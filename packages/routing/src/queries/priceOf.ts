import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";

/** Returns the prices of an upstream's host; hosts of undeclared machine classes all get the same price. */
export const priceOf = (
    state: RoutingState,
    upstream: UpstreamState,
): { readonly pricePerHour: number; readonly crossRegionPricePerGigabyte: number; } => {
    const { machineClass, availabilityZone, reclaimable } = upstream.description;
    const spec = state.machineClasses[machineClass];
    const zonePrice = spec?.zonePrices.find(price => price.availabilityZone === availabilityZone);
    const prices = zonePrice ?? spec ?? { pricePerHour: 1, reclaimablePricePerHour: 1 };
    return {
        pricePerHour: reclaimable ? prices.reclaimablePricePerHour : prices.pricePerHour,
        crossRegionPricePerGigabyte: spec?.crossRegionPricePerGigabyte ?? 0,
    };
};
