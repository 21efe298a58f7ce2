import type { KeyValueEntry } from "@ibislanding/platform";
import type { DocumentPosition } from "./documentPosition";
import type { DocumentSet } from "./documentSet";

/**
 * Selects what a host that has a set at the given position needs to bring it up to date. Everything counts as changed
 * if the positions are not comparable.
 */
export const selectChangedDocuments = (
    { epoch, entries }: DocumentSet,
    known: DocumentPosition,
): { readonly changed: readonly KeyValueEntry[]; readonly unchangedKeys: readonly string[]; } => {
    const isComparable = epoch === known.epoch && known.revision > 0;
    const isUnchanged = ({ version }: KeyValueEntry): boolean => isComparable && version <= known.revision;
    const all = [...entries.values()];
    return {
        changed: all.filter(entry => !isUnchanged(entry)),
        unchangedKeys: all.filter(isUnchanged).map(({ key }) => key),
    };
};
