import type { Clock } from "@ibislanding/core";
import { emptyShardHead } from "../model/emptyShardHead";
import type { ShardHead } from "../model/shardHead";

/**
 * Creates the clock with which this process tracks the time of a shard. After the first commit it advances only by
 * elapsed monotonic time, so that it never runs ahead of the time that has actually passed.
 */
export const createShardClock = (clock: Clock) => {
    let offsetMs: number | undefined;

    return {
        /** Adjusts the clock to a head that was read, and returns the current time of the shard. */
        observe: (head: ShardHead): number => {
            if (head === emptyShardHead) {
                // The first commit sets the initial time; no offset is kept until then, as another host may make it.
                return Math.floor(clock.wallMs());
            }
            const nowMs = clock.monotonicMs();
            const seenOffsetMs = head.shardTimeMs - nowMs;
            offsetMs = Math.max(offsetMs ?? seenOffsetMs, seenOffsetMs);
            return Math.floor(nowMs + offsetMs);
        },
    };
};
