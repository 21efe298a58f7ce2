import type { KeyValueSnapshot } from "@ibislanding/platform";
import type { DocumentSet } from "./documentSet";
import { isNewerPosition } from "./isNewerPosition";

/** Converts a complete snapshot to a set; returns the current set if the snapshot has an older position. */
export const replaceDocuments = (current: DocumentSet | undefined, snapshot: KeyValueSnapshot): DocumentSet => {
    if (current !== undefined && isNewerPosition(current, snapshot)) {
        return current;
    }
    const { epoch, revision } = snapshot;
    return { epoch, revision, entries: new Map(snapshot.entries.map(entry => [entry.key, entry])) };
};
