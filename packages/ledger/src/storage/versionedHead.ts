import type { ShardHead } from "../model/shardHead";

/** A head with the version of its key; the version is 0 when the key does not exist. */
export interface VersionedHead {
    readonly head: ShardHead;
    readonly version: number;
}
