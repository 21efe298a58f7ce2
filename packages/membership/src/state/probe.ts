import type { HostId } from "@ibislanding/core";

/** A probe that has no final result yet. */
export interface Probe {
    readonly targetHostId: HostId;
    /** Members that were asked to probe the target too. */
    helpersAsked: number;
    /** Those of them that have not answered yet. */
    helpersPending: number;
    /** Those of them that answered without having reached the target. */
    confirmations: number;
}
