import type { Clock } from "@ibislanding/core";
import type { KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import type { StatusEntry } from "./statusEntry";
import type { StatusRecord } from "./statusRecord";
import type { StatusWriter } from "./statusWriter";

interface CachedStatus {
    readonly version: number;
    readonly record: StatusRecord | undefined;
}

const parse = (entry: KeyValueEntry | undefined): CachedStatus => {
    try {
        const record = entry === undefined ? undefined : JSON.parse(entry.value) as StatusRecord;
        return { version: entry?.version ?? 0, record };
    }
    catch {
        return { version: entry?.version ?? 0, record: undefined };
    }
};

/** Sets the time of change of each condition; a condition with an unchanged status keeps its time. */
const withChangeTimes = (next: StatusRecord, previous: StatusRecord | undefined, nowMs: number): StatusRecord => ({
    ...next,
    conditions: next.conditions.map(condition => {
        const earlier = previous?.conditions.find(({ type }) => type === condition.type);
        const changedAtMs = earlier?.status === condition.status ? earlier.changedAtMs : nowMs;
        return { ...condition, changedAtMs };
    }),
});

/** Creates a writer with an empty cache; a failed write is not retried until the next call. */
export const createStatusWriter = (store: KeyValueStore, clock: Clock): StatusWriter => {
    const cache = new Map<string, CachedStatus>();

    const readCached = async (key: string): Promise<CachedStatus | undefined> => {
        const cached = cache.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const entry = await store.get(key, { cause: "status-write" });
        return entry.ok ? parse(entry.val) : undefined;
    };

    const writeOne = async ({ kind, name, record }: StatusEntry): Promise<void> => {
        const key = `status/${kind}/${name}`;
        const previous = await readCached(key);
        if (previous === undefined) {
            return;
        }
        cache.set(key, previous);
        const next = withChangeTimes(record, previous.record, clock.wallMs());
        const value = JSON.stringify(next);
        if (value === JSON.stringify(previous.record)) {
            return;
        }
        const request = { key, expectedVersion: previous.version, value };
        const result = await store.compareAndSwap(request, { cause: "status-write" });
        if (result.ok) {
            cache.set(key, { version: result.val, record: next });
        }
        else {
            cache.delete(key);
        }
    };

    return {
        write: async entries => {
            await Promise.all(entries.map(writeOne));
        },
        reset: () => cache.clear(),
    };
};
