import type { ActionRecord } from "./actionRecord";

/** A record of a sealed segment without its answer. */
export interface SealedRecord {
    readonly record: Omit<ActionRecord, "answer">;
    readonly segmentKey: string;
}
