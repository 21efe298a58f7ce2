import type { Hasher } from "@ibislanding/core";

/** Returns the shard number of a record id, from 0 to `shardCount - 1`. */
export const shardOf = (recordId: string, shardCount: number, hasher: Hasher): number =>
    hasher.hash32(recordId) % shardCount;
