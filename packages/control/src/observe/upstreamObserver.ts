import type { ObservedUpstream, ServiceDemand } from "@ibislanding/placement";

/** What this process knows of upstreams; it may be old. */
export interface UpstreamObserver extends AsyncDisposable {
    /** Reads the host list and asks the engines of the observed services for their state. */
    readonly observe: () => Promise<void>;
    /** Upstreams of a service; undefined before the first observation after the service was observed. */
    readonly upstreamsOf: (service: string) => readonly ObservedUpstream[] | undefined;
    /** Demand that the engines of a service report together. */
    readonly demandOf: (service: string) => ServiceDemand;
}
