import type { Clock } from "@ibislanding/core";
import type { DocumentSet } from "@ibislanding/discovery";
import type { KeyValueEntry } from "@ibislanding/platform";

/** Time for which removed keys are remembered: longer than the age of a copy from which a store is restored. */
const REMOVED_KEY_RETENTION_MS = 60_000;

/**
 * Creates a function that returns the entries of successive versions of a set, without those that only a restoration of
 * the store brought back.
 *
 * Handles a store that was restored from a copy and lists upstreams again whose entries had been removed. Such an entry
 * is left out until it is written again, which an upstream that still runs does within seconds.
 */
export const createRestoredEntryFilter = (clock: Clock): (set: DocumentSet) => readonly KeyValueEntry[] => {
    let previous: DocumentSet | undefined;
    const removedAtMs = new Map<string, number>();
    /** Versions of the entries that were brought back. */
    const restoredVersions = new Map<string, number>();

    const recordRemovals = (set: DocumentSet): void => {
        const nowMs = clock.monotonicMs();
        [...previous?.entries.keys() ?? []].filter(key => !set.entries.has(key)).forEach(key =>
            removedAtMs.set(key, nowMs)
        );
        [...removedAtMs].filter(([, atMs]) => nowMs - atMs > REMOVED_KEY_RETENTION_MS).forEach(([key]) =>
            removedAtMs.delete(key)
        );
    };

    return set => {
        if (previous !== undefined && set.epoch > previous.epoch) {
            restoredVersions.clear();
            [...set.entries.values()].filter(({ key }) => removedAtMs.has(key) && !previous?.entries.has(key)).forEach(
                ({ key, version }) => restoredVersions.set(key, version),
            );
        }
        recordRemovals(set);
        previous = set;
        return [...set.entries.values()].filter(({ key, version }) => restoredVersions.get(key) !== version);
    };
};
