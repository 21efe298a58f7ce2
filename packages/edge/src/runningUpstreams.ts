/** Upstreams of a service by price class. */
export interface RunningUpstreams {
    readonly onDemand: number;
    readonly reclaimable: number;
}
