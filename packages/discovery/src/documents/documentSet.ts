import type { KeyValueEntry } from "@ibislanding/platform";
import type { DocumentPosition } from "./documentPosition";

/** All documents under one prefix by key, as of a revision of the store. */
export interface DocumentSet extends DocumentPosition {
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
}
