import type { HistoryRecord } from "./historyRecord";

type WithoutHeader<T> = T extends HistoryRecord ? Omit<T, "atMs" | "process"> : never;

/** Records a history in memory and in a file. */
export interface HistoryWriter extends AsyncDisposable {
    readonly write: (process: string, record: WithoutHeader<HistoryRecord>) => void;
    readonly records: () => readonly HistoryRecord[];
}
