import type { KeyValueChange } from "./keyValueChange";

/** Changes in order, complete up to a store-wide revision. */
export interface KeyValueChanges {
    readonly changes: readonly KeyValueChange[];
    readonly revision: number;
}
