import type { HostId } from "@ibislanding/core";

/** Estimate of the current time on which all hosts agree; unaffected by jumps of single hosts' wall clocks. */
export interface ClusterClock {
    /** Milliseconds since the Unix epoch. */
    readonly nowMs: () => number;
    /** Records a peer's wall-clock time, in milliseconds since the Unix epoch as of this call. */
    readonly observePeer: (hostId: HostId, wallMs: number) => void;
}
