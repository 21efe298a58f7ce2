/** What a target has received of an order's requests, and what it may receive. */
export interface Exposure {
    /** Requests that the target may receive in addition to those it is known to have received. */
    readonly left: number;
    /** Requests per millisecond to all versions. */
    readonly ratePerMs: number;
    /** Requests that the target is known to have received. */
    readonly received: number;
}
