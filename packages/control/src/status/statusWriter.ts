import type { StatusEntry } from "./statusEntry";

/** Writes resource statuses to the key-value service. */
export interface StatusWriter {
    /** Writes the entries that differ from the stored ones. */
    readonly write: (entries: readonly StatusEntry[]) => Promise<void>;
    /** Clears the cache of stored statuses, because another lease holder may have written since. */
    readonly reset: () => void;
}
