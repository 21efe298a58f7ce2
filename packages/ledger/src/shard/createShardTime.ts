import type { Clock } from "@ibislanding/core";
import { emptyShardHead } from "../model/emptyShardHead";
import type { ShardHead } from "../model/shardHead";

/** Creates the measure of a shard's time in this process; it never runs ahead of the time that really passed. */
export const createShardTime = (clock: Clock) => {
    let offsetMs: number | undefined;

    return {
        /** Takes the time of a head into account and returns the present time of the shard. */
        observe: (head: ShardHead): number => {
            const nowMs = clock.monotonicMs();
            const startMs = head === emptyShardHead ? clock.wallMs() : head.shardTimeMs;
            const seenOffsetMs = startMs - nowMs;
            offsetMs = Math.max(offsetMs ?? seenOffsetMs, seenOffsetMs);
            return Math.floor(nowMs + offsetMs);
        },
    };
};
