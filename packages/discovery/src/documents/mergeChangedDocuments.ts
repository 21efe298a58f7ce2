import type { KeyValueEntry } from "@ibislanding/platform";
import type { DocumentPosition } from "./documentPosition";
import type { DocumentSet } from "./documentSet";

/**
 * Returns the set at a newer position from its changed documents and the known set; undefined if the known set lacks a
 * document that is said to be unchanged.
 */
export const mergeChangedDocuments = (
    { epoch, revision }: DocumentPosition,
    changed: readonly KeyValueEntry[],
    unchangedKeys: readonly string[],
    known: DocumentSet | undefined,
): DocumentSet | undefined => {
    const unchanged = unchangedKeys.flatMap(key => known?.entries.get(key) ?? []);
    return unchanged.length < unchangedKeys.length
        ? undefined
        : { epoch, revision, entries: new Map([...unchanged, ...changed].map(entry => [entry.key, entry])) };
};
