import type { HostId } from "@ibislanding/core";

/** Probe without a final result yet. */
export interface Probe {
    readonly targetHostId: HostId;
    /** Number of members that were asked to probe the target as well. */
    helpersAsked: number;
    /** Number of these helpers that have not responded yet. */
    helpersPending: number;
    /** Number of these helpers that responded without having reached the target. */
    confirmations: number;
}
