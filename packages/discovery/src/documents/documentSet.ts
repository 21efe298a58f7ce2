import type { KeyValueEntry } from "@ibislanding/platform";

/** All documents under one prefix by key, as of a revision of the store. */
export interface DocumentSet {
    readonly revision: number;
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
}
