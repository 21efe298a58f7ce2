import type { UpstreamId } from "@ibislanding/core";
import type { ReplicaChoice } from "./replicaChoice";

/** One replica in the stored plan. */
export interface PlannedReplica {
    /** Number of this start, unique within the service; the id of the start operation contains it. */
    readonly incarnation: number;
    readonly choice: ReplicaChoice;
    readonly phase: "starting" | "live" | "draining";
    /** Set once the platform has confirmed the start. */
    readonly upstreamId?: UpstreamId;
    /** Wall-clock time of the last change of phase. */
    readonly changedAtMs: number;
    /** Announced time by which the platform reclaims the host. */
    readonly deadlineMs?: number;
}
