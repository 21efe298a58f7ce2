import { createWriteStream } from "node:fs";
import type { HistoryRecord } from "./historyRecord";
import type { HistoryWriter } from "./historyWriter";

/** Creates a writer that appends records to a file of newline-delimited JSON. */
export const createHistoryWriter = (path: string): HistoryWriter => {
    const stream = createWriteStream(path);
    const records: HistoryRecord[] = [];
    return {
        write: (process, record) => {
            const fullRecord = { atMs: performance.now(), process, ...record } as HistoryRecord;
            records.push(fullRecord);
            stream.write(`${JSON.stringify(fullRecord)}\n`);
        },
        records: () => records,
        [Symbol.asyncDispose]: () => new Promise(resolve => stream.end(resolve)),
    };
};
