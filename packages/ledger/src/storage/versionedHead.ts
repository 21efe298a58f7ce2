import type { ShardHead } from "../model/shardHead";

/** A head with the version of its key, which is 0 if the key does not exist. */
export interface VersionedHead {
    readonly head: ShardHead;
    readonly version: number;
}
