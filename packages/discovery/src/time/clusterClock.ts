import type { HostId } from "@ibislanding/core";

/** Estimate of true time that survives jumps of single hosts' clocks. */
export interface ClusterClock {
    /** Milliseconds since the Unix epoch. */
    readonly nowMs: () => number;
    /** Takes the wall-clock time that a peer reported just now. */
    readonly observePeer: (hostId: HostId, wallMs: number) => void;
}
