import type { ObservedUpstream, ServiceDemand } from "@ibislanding/placement";

/** Observed state of the upstreams as this process last read it; it may be stale. */
export interface UpstreamObserver extends AsyncDisposable {
    /** Reads the host list and polls the load of the engines of the observed services. */
    readonly observe: () => Promise<void>;
    /** Upstreams of a service; undefined until an observation that includes the service has completed. */
    readonly upstreamsOf: (service: string) => readonly ObservedUpstream[] | undefined;
    /** Total load of the engines of a service; their queued prompt tokens count as prefill tokens per second. */
    readonly demandOf: (service: string) => ServiceDemand;
}
