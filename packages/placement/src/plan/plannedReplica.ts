import type { UpstreamId } from "@ibislanding/core";
import type { ReplicaChoice } from "./replicaChoice";

/** One replica of the durable plan. */
export interface PlannedReplica {
    /** Number of this start, never used again within the service; the start operation is named after it. */
    readonly incarnation: number;
    readonly choice: ReplicaChoice;
    readonly phase: "starting" | "live" | "draining";
    /** Known once the platform confirmed the start. */
    readonly upstreamId?: UpstreamId;
    /** Wall-clock time of the last change of phase. */
    readonly changedAtMs: number;
    /** Time by which the platform takes the host back, when announced. */
    readonly deadlineMs?: number;
}
