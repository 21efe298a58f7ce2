/** Counters of one version of a service on one route since this process began to count them; they only grow. */
export type VersionCounts = readonly [
    service: string,
    version: string,
    /** Name of the route; empty for requests that were sent before counting began. */
    route: string,
    sent: number,
    answers: number,
    failures: number,
    slow: number,
    ended: number,
];
