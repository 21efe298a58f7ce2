import type { Clock } from "@ibislanding/core";
import { emptyShardHead } from "../model/emptyShardHead";
import type { ShardHead } from "../model/shardHead";

/** Creates the measure of a shard's time in this process; it never runs ahead of the time that really passed. */
export const createShardClock = (clock: Clock) => {
    let offsetMs: number | undefined;

    return {
        /** Takes the time of a head into account and returns the present time of the shard. */
        observe: (head: ShardHead): number => {
            if (head === emptyShardHead) {
                // Only a commit starts the time of a shard; another host may start it elsewhere.
                return Math.floor(clock.wallMs());
            }
            const nowMs = clock.monotonicMs();
            const seenOffsetMs = head.shardTimeMs - nowMs;
            offsetMs = Math.max(offsetMs ?? seenOffsetMs, seenOffsetMs);
            return Math.floor(nowMs + offsetMs);
        },
    };
};
