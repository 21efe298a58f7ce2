import type { ShardHead } from "./shardHead";

/** Head of a shard that was never written; recognised by identity. */
export const emptyShardHead: ShardHead = { shardTimeMs: 0, records: {}, segments: [] };
