import type { KeyValueEntry } from "@ibislanding/platform";
import type { DocumentPosition } from "./documentPosition";

/** All documents under one prefix by key, as of a revision of the store. */
export interface DocumentSet extends DocumentPosition {
    readonly entries: ReadonlyMap<string, KeyValueEntry>;
    /** Revision since which nothing under the prefix has changed, if it is known to be earlier than `revision`. */
    readonly changedRevision?: number | undefined;
}
