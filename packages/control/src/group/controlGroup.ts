import type { UpstreamId } from "@ibislanding/core";

/** View of the gossip membership with the data that control uses; advisory, because it may be stale or incomplete. */
export interface ControlGroup {
    /** Ids of the live control hosts, including this one. */
    readonly controlHosts: () => readonly string[];
    /** Notifies all processes that an upstream accepts no new work. */
    readonly announceLeaving: (upstreamId: UpstreamId, deadlineMs: number | undefined) => void;
    /** Wall-clock deadlines of the reclaims announced by any process, by upstream id. */
    readonly reclaimDeadlinesMs: () => ReadonlyMap<string, number>;
    /** Calls the listener after each change of members or notices; returns the unsubscribe function. */
    readonly subscribe: (listener: () => void) => () => void;
}
