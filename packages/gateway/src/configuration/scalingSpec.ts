import type { AvailabilityZone } from "@ibislanding/core";

/** Bounds and prices for the autoscaling of a service. */
export interface ScalingSpec {
    /** Bounds per availability zone, counting reclaimable and on-demand upstreams together. */
    readonly minimum: number;
    readonly maximum: number;
    /** Time from the order of a new upstream until it serves requests. */
    readonly bootMs: number;
    /** Price of a reclaimable upstream relative to an on-demand one. */
    readonly reclaimablePrice: number;
    /** Price per upstream-second, by availability zone. */
    readonly zonePrices: ReadonlyMap<AvailabilityZone, number>;
}
