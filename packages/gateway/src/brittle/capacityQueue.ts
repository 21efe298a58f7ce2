import type { ServiceName } from "@ibislanding/core";

/** Requests that wait at this host until an upstream of their service has capacity. */
export interface CapacityQueue {
    readonly hasWaiting: (service: ServiceName) => boolean;
    /**
     * Waits until `findCapacity` returns a value, which is called for the requests of a service in the order of their arrival.
     * Resolves to undefined if there are too many waiting requests, after the duration, or when the signal is aborted.
     */
    readonly wait: <T>(service: ServiceName, options: {
        readonly maximumWaiting: number;
        readonly durationMs: number;
        readonly signal: AbortSignal;
        readonly findCapacity: () => T | undefined;
    }) => Promise<T | undefined>;
}
