import type { SealedIndex } from "./sealedIndex";
import type { ShardHead } from "./shardHead";

/** A shard as of one version: its head and the index of the segments that the head references. */
export interface ShardView {
    readonly head: ShardHead;
    readonly sealed: SealedIndex;
}
