import type { Hasher } from "@ibislanding/core";

/** Returns the shard of a record id. */
export const shardOf = (recordId: string, shardCount: number, hasher: Hasher): number =>
    hasher.hash32(recordId) % shardCount;
