import type { SealedRecord } from "./sealedRecord";

/** Index of the records in the sealed segments of a shard. */
export interface SealedIndex {
    readonly find: (recordId: string) => SealedRecord | undefined;
}
