import type { UpstreamId } from "@ibislanding/core";

/** What control needs of the group of the system's processes; all of it is a hint. */
export interface ControlGroup {
    /** Ids of the live control hosts with this process itself. */
    readonly controlHosts: () => readonly string[];
    /** Tells all processes that an upstream takes no new work. */
    readonly announceLeaving: (upstreamId: UpstreamId, deadlineMs: number | undefined) => void;
    /** Deadlines of the reclaims that any process announced, by upstream id. */
    readonly reclaimDeadlinesMs: () => ReadonlyMap<string, number>;
    /** Calls the listener after members or notices changed; returns a function that ends this. */
    readonly subscribe: (listener: () => void) => () => void;
}
