import type { SealedIndex } from "./sealedIndex";
import type { ShardHead } from "./shardHead";

/** A consistent view of a shard: one version of its head, and the index of the segments that the head references. */
export interface ShardView {
    readonly head: ShardHead;
    readonly sealed: SealedIndex;
}
