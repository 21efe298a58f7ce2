import type { UpstreamDescription } from "@ibislanding/routing";

/** Replica in an availability zone, with the price of its host. */
export interface PlacedReplica extends UpstreamDescription {
    readonly pricePerHour: number;
}
