import type { KeyValueEntry } from "./keyValueEntry";

/** Entries under a prefix; they include every change up to a store-wide revision, and possibly newer ones. */
export interface KeyValueSnapshot {
    readonly entries: readonly KeyValueEntry[];
    /** Epoch of the store within which the revision is valid. */
    readonly epoch: number;
    readonly revision: number;
}
