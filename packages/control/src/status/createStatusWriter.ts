import type { Clock } from "@ibislanding/core";
import type { KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import type { StatusEntry } from "./statusEntry";
import type { StatusRecord } from "./statusRecord";
import type { StatusWriter } from "./statusWriter";

interface Written {
    readonly version: number;
    readonly record: StatusRecord | undefined;
}

const parse = (entry: KeyValueEntry | undefined): Written => {
    try {
        const record = entry === undefined ? undefined : JSON.parse(entry.value) as StatusRecord;
        return { version: entry?.version ?? 0, record };
    }
    catch {
        return { version: entry?.version ?? 0, record: undefined };
    }
};

/** Keeps the time of a condition whose status is unchanged. */
const withTimes = (next: StatusRecord, previous: StatusRecord | undefined, nowMs: number): StatusRecord => ({
    ...next,
    conditions: next.conditions.map(condition => {
        const earlier = previous?.conditions.find(({ type }) => type === condition.type);
        const changedAtMs = earlier?.status === condition.status ? earlier.changedAtMs : nowMs;
        return { ...condition, changedAtMs };
    }),
});

/** Creates a writer that knows nothing of what is stored. */
export const createStatusWriter = (store: KeyValueStore, clock: Clock): StatusWriter => {
    const written = new Map<string, Written>();

    const known = async (key: string): Promise<Written | undefined> => {
        const cached = written.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const entry = await store.get(key, { cause: "status-write" });
        return entry.ok ? parse(entry.val) : undefined;
    };

    const writeOne = async ({ kind, name, record }: StatusEntry): Promise<void> => {
        const key = `status/${kind}/${name}`;
        const previous = await known(key);
        if (previous === undefined) {
            return;
        }
        written.set(key, previous);
        const next = withTimes(record, previous.record, clock.wallMs());
        const value = JSON.stringify(next);
        if (value === JSON.stringify(previous.record)) {
            return;
        }
        const request = { key, expectedVersion: previous.version, value };
        const result = await store.compareAndSwap(request, { cause: "status-write" });
        if (result.ok) {
            written.set(key, { version: result.val, record: next });
        }
        else {
            written.delete(key);
        }
    };

    return {
        write: async entries => {
            await Promise.all(entries.map(writeOne));
        },
        reset: () => written.clear(),
    };
};
