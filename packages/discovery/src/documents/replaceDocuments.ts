import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";

/** Returns the set of a complete snapshot, or the current one when the snapshot is older. */
export const replaceDocuments = (current: DocumentSet | undefined, snapshot: KeyValueSnapshot): DocumentSet => {
    if (current !== undefined && snapshot.revision < current.revision) {
        return current;
    }
    return { revision: snapshot.revision, entries: new Map(snapshot.entries.map(entry => [entry.key, entry])) };
};
