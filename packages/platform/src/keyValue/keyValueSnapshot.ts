import type { KeyValueEntry } from "./keyValueEntry";

/** Entries under a prefix that contain at least everything up to a store-wide revision. */
export interface KeyValueSnapshot {
    readonly entries: readonly KeyValueEntry[];
    readonly revision: number;
}
