import type { StatusEntry } from "./statusEntry";

/** Writes statuses to the key-value service. */
export interface StatusWriter {
    /** Writes those that differ from what is stored. */
    readonly write: (entries: readonly StatusEntry[]) => Promise<void>;
    /** Forgets what is stored, as other holders may have written. */
    readonly reset: () => void;
}
