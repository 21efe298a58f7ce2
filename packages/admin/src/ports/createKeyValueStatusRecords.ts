import type { KeyValueStore } from "@ibislanding/platform";
import type { StatusRecord } from "./statusRecord";
import type { StatusRecords } from "./statusRecords";
import { statusRecordSchema } from "./statusRecordSchema";

const READ_OPTIONS = { cause: "control-read", timeoutMs: 1_000 } as const;

const parseRecord = (text: string): StatusRecord | undefined => {
    try {
        return statusRecordSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
};

/** Creates the adapter that reads statuses from the key-value service; invalid records are treated as absent. */
export const createKeyValueStatusRecords = (store: KeyValueStore): StatusRecords => ({
    find: async (kind, name) =>
        (await store.get(`status/${kind}/${name}`, READ_OPTIONS))
            .map(entry => (entry === undefined ? undefined : parseRecord(entry.value))),
    listKind: async kind => {
        const prefix = `status/${kind}/`;
        return (await store.list(prefix, READ_OPTIONS)).map(entries =>
            new Map(entries.flatMap(({ key, value }) => {
                const record = parseRecord(value);
                return record === undefined ? [] : [[key.slice(prefix.length), record] as const];
            }))
        );
    },
});
