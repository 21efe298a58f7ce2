import type { WaitingRequest } from "@ibislanding/admission";
import type { ServiceName } from "@ibislanding/core";

/** Requests that wait at this host until an upstream of their service has capacity. */
export interface CapacityQueue {
    readonly hasWaiting: (service: ServiceName) => boolean;
    /**
     * Waits until `findCapacity` returns a value, which is called for the requests of a service in their order: by urgency,
     * fairness and deadline if `request` is stated and the queue is ordered, else by arrival.
     * Resolves to undefined if there are too many waiting requests, after the duration, or when the signal is aborted.
     */
    readonly wait: <T>(service: ServiceName, options: {
        readonly maximumWaiting: number;
        readonly durationMs: number;
        readonly signal: AbortSignal;
        readonly findCapacity: () => T | undefined;
        readonly request?: WaitingRequest | undefined;
    }) => Promise<T | undefined>;
}
