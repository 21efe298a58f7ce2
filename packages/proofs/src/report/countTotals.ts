import type { HistoryRecord } from "../history/historyRecord";
import type { RunTotals } from "./runTotals";

const countBy = (keys: readonly string[]): Record<string, number> =>
    keys.reduce<Record<string, number>>((counts, key) => ({ ...counts, [key]: (counts[key] ?? 0) + 1 }), {});

/** Counts operations by outcome and faults by kind; the per-engine `reclaim` records are not counted. */
export const countTotals = (history: readonly HistoryRecord[]): RunTotals => ({
    operations: countBy(history.flatMap(record => {
        if (!("operation" in record) || record.type === "invoke") {
            return [];
        }
        return [`${record.operation} ${record.type}${"code" in record ? ` ${record.code}` : ""}`];
    })),
    faults: countBy(
        history.flatMap(record => (record.type === "fault" && record.kind !== "reclaim" ? [record.kind] : [])),
    ),
});
