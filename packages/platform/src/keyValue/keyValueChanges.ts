import type { KeyValueChange } from "./keyValueChange";

/** Changes in order, complete from the requested revision up to `revision`. */
export interface KeyValueChanges {
    readonly changes: readonly KeyValueChange[];
    readonly revision: number;
}
