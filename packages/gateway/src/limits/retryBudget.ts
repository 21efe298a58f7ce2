import type { ServiceName } from "@ibislanding/core";

/** Limit on the retries at further upstreams, in proportion to the requests for the service. */
export interface RetryBudget {
    readonly recordRequest: (service: ServiceName) => void;
    /** Consumes one retry; returns whether the budget permits it. */
    readonly tryAcquire: (service: ServiceName) => boolean;
    /** Whether the budget permits a retry now. */
    readonly hasRetry: (service: ServiceName) => boolean;
    /** Consumes a retry that is made whether the budget permits it or not; later ones wait for it. */
    readonly charge: (service: ServiceName) => void;
}
