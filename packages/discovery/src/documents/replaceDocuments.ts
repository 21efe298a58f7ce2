import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";

/** Converts a complete snapshot to a set; returns the current set if the snapshot has an older revision. */
export const replaceDocuments = (current: DocumentSet | undefined, snapshot: KeyValueSnapshot): DocumentSet => {
    if (current !== undefined && snapshot.revision < current.revision) {
        return current;
    }
    return { revision: snapshot.revision, entries: new Map(snapshot.entries.map(entry => [entry.key, entry])) };
};
