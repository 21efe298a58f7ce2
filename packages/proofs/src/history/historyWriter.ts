import type { HistoryRecord } from "./historyRecord";

type WithoutHead<T> = T extends HistoryRecord ? Omit<T, "atMs" | "process"> : never;

/** Records a history in memory and in a file. */
export interface HistoryWriter extends AsyncDisposable {
    readonly write: (process: string, record: WithoutHead<HistoryRecord>) => void;
    readonly records: () => readonly HistoryRecord[];
}
