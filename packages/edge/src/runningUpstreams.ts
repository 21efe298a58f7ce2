/** Numbers of a service's running upstreams by price class. */
export interface RunningUpstreams {
    readonly onDemand: number;
    readonly reclaimable: number;
}
