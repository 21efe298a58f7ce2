import type { BrittleRow } from "@ibislanding/gateway";
import { countRows } from "./countRows";

/** Number of fields that identify a start of an upstream. */
const KEY_LENGTH = 2;

const keyOf = ([upstreamId, startedAtMs]: BrittleRow): string => `${upstreamId}/${startedAtMs}`;

/** Returns the newest statement of each start of an upstream, with the newest times of its other fields. */
export const mergeBrittleRows = (rows: readonly BrittleRow[]): readonly BrittleRow[] => {
    const newestFirst = [...rows].sort(([, , left], [, , right]) => right - left);
    const newestTimes = new Map(countRows.maximum(KEY_LENGTH, [rows]).map(row => [keyOf(row), row]));
    return countRows.distinct(KEY_LENGTH, [newestFirst]).map(row => {
        const [upstreamId, startedAtMs, statedAtMs, rejectionsPerS] = row;
        const [, , , , rejectedAtMs, exceededAtMs] = newestTimes.get(keyOf(row)) ?? row;
        return [upstreamId, startedAtMs, statedAtMs, rejectionsPerS, rejectedAtMs, exceededAtMs] as const;
    });
};
