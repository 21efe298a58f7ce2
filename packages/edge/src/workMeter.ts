import type { ServiceName } from "@ibislanding/core";

/** Work that this host gives the engines of each service. */
export interface WorkMeter {
    readonly add: (service: ServiceName, workMs: number) => void;
    /** Engines kept busy, smoothed over the last seconds. */
    readonly busyUpstreams: () => ReadonlyMap<ServiceName, number>;
}
