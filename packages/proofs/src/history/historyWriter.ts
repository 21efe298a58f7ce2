import type { HistoryRecord } from "./historyRecord";

type WithoutHeader<T> = T extends HistoryRecord ? Omit<T, "atMs" | "process"> : never;

/** Writes a history to a file and keeps it in memory; disposing it closes the file. */
export interface HistoryWriter extends AsyncDisposable {
    readonly write: (process: string, record: WithoutHeader<HistoryRecord>) => void;
    readonly records: () => readonly HistoryRecord[];
}
