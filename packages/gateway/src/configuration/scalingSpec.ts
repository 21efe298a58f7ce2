import type { AvailabilityZone } from "@ibislanding/core";

/** Bounds and prices for the number of a service's upstreams. */
export interface ScalingSpec {
    /** Bounds in each availability zone, reclaimable and on-demand upstreams together. */
    readonly minimum: number;
    readonly maximum: number;
    /** Time from the order until a new upstream serves. */
    readonly bootMs: number;
    /** Price of a reclaimable upstream relative to an on-demand one. */
    readonly reclaimablePrice: number;
    /** Price of an upstream second in each availability zone. */
    readonly zonePrices: ReadonlyMap<AvailabilityZone, number>;
}
