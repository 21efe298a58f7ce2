import type { ServiceName } from "@ibislanding/core";

/** Measures the work that this host sends to the engines of each service. */
export interface WorkMeter {
    readonly add: (service: ServiceName, workMs: number) => void;
    /** Number of engines kept busy, averaged over the last seconds. */
    readonly busyUpstreams: () => ReadonlyMap<ServiceName, number>;
}
