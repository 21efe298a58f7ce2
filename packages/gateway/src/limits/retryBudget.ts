import type { ServiceName } from "@ibislanding/core";

/** Sends of a request to a further upstream, bounded by the requests for the service. */
export interface RetryBudget {
    readonly recordRequest: (service: ServiceName) => void;
    /** Takes one further send; returns whether it may be made. */
    readonly tryAcquire: (service: ServiceName) => boolean;
}
