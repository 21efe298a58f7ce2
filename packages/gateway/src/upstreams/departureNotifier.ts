import type { UpstreamId } from "@ibislanding/core";

/** Callbacks of those who wait for upstreams to go. */
export interface DepartureNotifier {
    /** Calls back once when the upstream goes; returns a function that ends this. */
    readonly onDeparture: (upstreamId: UpstreamId, callback: () => void) => () => void;
    /** Calls back for each upstream that is going now. */
    readonly notifyDepartures: (isDeparting: (upstreamId: UpstreamId) => boolean) => void;
}
