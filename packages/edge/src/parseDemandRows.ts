import { type DemandRow, parseDemandRow } from "@ibislanding/admission";
import type { HostReport } from "./hostReport";

/** Rows in a report beyond this are dropped: the largest deployment has 16 accounts and 3 urgencies. */
const MAXIMUM_ROWS = 1_000;

/** Reads the demand of a report; what can't be read is left out and passed to `onInvalid`, as a number of rows. */
export const parseDemandRows = (
    demand: HostReport["demand"],
    onInvalid?: (rowCount: number) => void,
): readonly DemandRow[] => {
    if (demand === undefined) {
        return [];
    }
    if (!Array.isArray(demand)) {
        onInvalid?.(1);
        return [];
    }
    const rows = demand.slice(0, MAXIMUM_ROWS).flatMap(row => parseDemandRow(row) ?? []);
    if (rows.length < demand.length) {
        onInvalid?.(demand.length - rows.length);
    }
    return rows;
};
