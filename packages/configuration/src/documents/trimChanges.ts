import type { ConfigurationChange } from "@ibislanding/resources";

/** Maximum number of changes that are kept to recognize retries and for the audit trail. */
const MAXIMUM_CHANGES = 128;

/** Maximum total number of changed resources listed in the kept changes. */
const MAXIMUM_LISTED_RESOURCES = 2048;

/** Returns the most recent changes that fit within both limits, but always at least the last one. */
export const trimChanges = (changes: readonly ConfigurationChange[]): readonly ConfigurationChange[] => {
    const recent = changes.slice(-MAXIMUM_CHANGES);
    const countResourcesFrom = (index: number): number =>
        recent.slice(index).reduce((count, change) => count + change.resources.length, 0);
    const firstKept = recent.findIndex((_, index) => countResourcesFrom(index) <= MAXIMUM_LISTED_RESOURCES);
    return firstKept < 0 ? recent.slice(-1) : recent.slice(firstKept);
};
