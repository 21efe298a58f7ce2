import type { KeyValueChange, KeyValueChanges, KeyValueEntry } from "@ibislanding/platform";
import { match } from "ts-pattern";
import type { DocumentSet } from "./documentSet";

const applyChange = (entries: Map<string, KeyValueEntry>, change: KeyValueChange): void =>
    match(change)
        .with({ kind: "written" }, ({ entry }) => {
            if (entry.version >= (entries.get(entry.key)?.version ?? 0)) {
                entries.set(entry.key, entry);
            }
        })
        .with({ kind: "removed" }, ({ key, version }) => {
            if (version >= (entries.get(key)?.version ?? 0)) {
                entries.delete(key);
            }
        })
        .exhaustive();

/**
 * Returns a copy of the set with the changes applied; changes older than an entry's version have no effect on it.
 * Returns the set itself if the changes belong to another epoch.
 */
export const applyChanges = (current: DocumentSet, { changes, epoch, revision }: KeyValueChanges): DocumentSet => {
    if (epoch !== current.epoch) {
        return current;
    }
    const entries = new Map(current.entries);
    changes.forEach(change => applyChange(entries, change));
    const changedRevision = changes.length === 0 ? current.changedRevision ?? current.revision : revision;
    return { epoch, revision: Math.max(current.revision, revision), entries, changedRevision };
};
