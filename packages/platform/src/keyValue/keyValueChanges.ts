import type { KeyValueChange } from "./keyValueChange";

/** Changes in order, complete from the requested revision up to `revision`. */
export interface KeyValueChanges {
    readonly changes: readonly KeyValueChange[];
    /** Epoch of the store within which the revisions are valid. */
    readonly epoch: number;
    readonly revision: number;
}
