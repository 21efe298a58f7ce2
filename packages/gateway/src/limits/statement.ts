import type { UpstreamId } from "@ibislanding/core";

/** What a start of an upstream states in its answers about the load that it takes, for all hosts together. */
export interface Statement {
    readonly upstreamId: UpstreamId;
    readonly startedAtMs: number;
    /** Last stated number; events a second. */
    readonly perS: number;
    /** Shared time of the newest answer that is known to state it, or not to state it any more. */
    readonly statedAtMs: number;
    /** Shared time since which answers state nothing; undefined while they state the number. */
    readonly liftedAtMs: number | undefined;
}
