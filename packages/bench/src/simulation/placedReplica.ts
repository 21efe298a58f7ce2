import type { UpstreamDescription } from "@ibislanding/routing";

/** A replica with the price of its host. */
export interface PlacedReplica extends UpstreamDescription {
    readonly pricePerHour: number;
}
