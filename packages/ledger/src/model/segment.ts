import type { ActionRecord } from "./actionRecord";

/** Immutable value with ended records. */
export interface Segment {
    readonly records: readonly ActionRecord[];
}
