import type { KeyValueEntry } from "@ibislanding/platform";

/** Documents under one prefix, complete up to a revision of the store. */
export interface DocumentSet {
    readonly revision: number;
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
}
