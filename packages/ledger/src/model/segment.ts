import type { ActionRecord } from "./actionRecord";

/** Sealed segment: an immutable stored value of ended records. */
export interface Segment {
    readonly records: readonly ActionRecord[];
}
