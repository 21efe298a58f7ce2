import type { Clock } from "@ibislanding/core";
import { emptyShardHead } from "../model/emptyShardHead";
import type { ShardHead } from "../model/shardHead";

/**
 * Creates this process's clock of a shard's time. After the first commit it advances only by elapsed monotonic time, so
 * that it never runs ahead of the time that has actually passed.
 */
export const createShardClock = (clock: Clock) => {
    let offsetMs: number | undefined;

    return {
        /** Adjusts the clock to a head that was read, and returns the current time of the shard. */
        observe: (head: ShardHead): number => {
            if (head === emptyShardHead) {
                // The first commit sets the initial time; no offset is kept before it, as another host may set another.
                return Math.floor(clock.wallMs());
            }
            const nowMs = clock.monotonicMs();
            const seenOffsetMs = head.shardTimeMs - nowMs;
            offsetMs = Math.max(offsetMs ?? seenOffsetMs, seenOffsetMs);
            return Math.floor(nowMs + offsetMs);
        },
    };
};
