import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** What is known of a request when it is sent to an upstream. */
export interface VersionRunStart {
    readonly upstream: UpstreamRecord;
    /** Name of the route. */
    readonly route: string;
    readonly isStream: boolean;
    /** Objective of the route. */
    readonly objectiveMs: number;
    /** Predicted time to the first event, or to the plain answer, independent of the upstream's version. */
    readonly typicalMs: () => number;
}
