import type { ActionRecord } from "../model/actionRecord";
import type { Segment } from "../model/segment";
import { recordIdOf } from "../queries/recordIdOf";

/** Merges the records of segments, given oldest first; a later record replaces an earlier one of the same action. */
export const mergeRecords = (segments: readonly Segment[]): readonly ActionRecord[] => [
    ...new Map(segments.flatMap(({ records }) => records).map(record => [recordIdOf(record), record])).values(),
];
