import type { WaitingRequest } from "./waitingRequest";

/**
 * Requests that wait for capacity, in the order in which they get it: by urgency, then those of the account that was served
 * least, then by the time until the deadline.
 */
export interface AdmissionQueue<T extends WaitingRequest> {
    readonly add: (request: T) => void;
    /** The request that gets the next capacity; it stays in the queue. */
    readonly first: () => T | undefined;
    /** Removes a request that gets capacity, and counts its units as served for its account. */
    readonly release: (request: T) => void;
    /** Removes a request that no longer waits. */
    readonly remove: (request: T) => void;
    readonly size: () => number;
}
