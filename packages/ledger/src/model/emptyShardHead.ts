import type { ShardHead } from "./shardHead";

/** Head of a shard that was never written. */
export const emptyShardHead: ShardHead = { shardTimeMs: 0, records: {}, segments: [] };
