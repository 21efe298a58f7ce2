import type { UpstreamId } from "@ibislanding/core";

/** One-shot subscriptions to the departure of upstreams. */
export interface DepartureNotifier {
    /** Registers a callback that runs once when the upstream departs; returns a function that cancels it. */
    readonly onDeparture: (upstreamId: UpstreamId, callback: () => void) => () => void;
    /** Runs and removes the callbacks of every upstream for which the predicate holds. */
    readonly notifyDepartures: (isDeparting: (upstreamId: UpstreamId) => boolean) => void;
}
