import type { ConfigurationChange } from "@ibislanding/resources";

/** Number of changes that are kept for idempotent retries and the audit trail. */
const MAXIMUM_CHANGES = 128;

/** Number of changed resources that are listed in the kept changes together. */
const MAXIMUM_LISTED_RESOURCES = 2048;

/** Keeps the most recent changes within the bounds, at least the last one. */
export const trimChanges = (changes: readonly ConfigurationChange[]): readonly ConfigurationChange[] => {
    const recent = changes.slice(-MAXIMUM_CHANGES);
    const countResourcesFrom = (index: number): number =>
        recent.slice(index).reduce((count, change) => count + change.resources.length, 0);
    const firstKept = recent.findIndex((_, index) => countResourcesFrom(index) <= MAXIMUM_LISTED_RESOURCES);
    return firstKept < 0 ? recent.slice(-1) : recent.slice(firstKept);
};
