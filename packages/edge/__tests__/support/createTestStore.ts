import { createFailure, createSystemClock, ErrorCode } from "@ibislanding/core";
import {
    createFakeKeyValueStore,
    createStoreEpoch,
    type KeyValueChange,
    type KeyValueEntry,
    type KeyValueHistory,
    type KeyValueStore,
} from "@ibislanding/platform";
import { Err, Ok } from "ts-results";

const POLL_MS = 10;

/** Creates a store with a history that can refuse calls of single hosts. */
export const createTestStore = () => {
    const clock = createSystemClock();
    const keyValueStore = createFakeKeyValueStore(clock);
    const changes: KeyValueChange[] = [];
    const entries = new Map<string, KeyValueEntry>();
    const refused = new Set<string>();
    const epoch = createStoreEpoch();
    epoch.observe(1);
    let revision = 0;

    const write = (key: string, value: string): void => {
        const entry = { key, value, version: ++revision };
        entries.set(key, entry);
        changes.push({ kind: "written", entry });
    };

    const remove = (key: string): void => {
        entries.delete(key);
        changes.push({ kind: "removed", key, version: ++revision });
    };

    /** Copies the store; returns a function that restores it from the copy, which starts a new epoch. */
    const takeCopy = (): () => void => {
        const copied = { entries: [...entries], changes: [...changes], revision, restore: keyValueStore.takeCopy() };
        return () => {
            entries.clear();
            copied.entries.forEach(([key, entry]) => entries.set(key, entry));
            changes.splice(0, Infinity, ...copied.changes);
            ({ revision } = copied);
            copied.restore();
            epoch.observe(epoch.current() + 1);
        };
    };

    const historyOf = (hostName: string): KeyValueHistory => ({
        snapshot: async prefix =>
            refused.has(hostName)
                ? Err(createFailure(ErrorCode.KeyValueUnavailable))
                : Ok({
                    epoch: epoch.current(),
                    revision,
                    entries: [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
                }),
        changesAfter: async (prefix, after, waitMs, options) => {
            const giveUpAtMs = clock.monotonicMs() + waitMs;
            const findChanges = (): readonly KeyValueChange[] =>
                changes.filter(change =>
                    change.kind === "written"
                        ? change.entry.version > after && change.entry.key.startsWith(prefix)
                        : change.version > after && change.key.startsWith(prefix)
                );
            while (findChanges().length === 0 && clock.monotonicMs() < giveUpAtMs && options.signal?.aborted !== true) {
                if (refused.has(hostName)) {
                    return Err(createFailure(ErrorCode.KeyValueUnavailable));
                }
                await clock.sleep(POLL_MS, options.signal);
            }
            return refused.has(hostName)
                ? Err(createFailure(ErrorCode.KeyValueUnavailable))
                : Ok({ changes: findChanges(), epoch: epoch.current(), revision });
        },
    });

    /** Returns a store for one host; its writes, such as host addresses, also appear in the history. */
    const storeOf = (hostName: string): KeyValueStore => ({
        ...keyValueStore,
        get: async (key, options) =>
            refused.has(hostName) ? Err(createFailure(ErrorCode.KeyValueUnavailable)) : keyValueStore.get(key, options),
        compareAndSwap: async (request, options) => {
            if (refused.has(hostName)) {
                return Err(createFailure(ErrorCode.KeyValueUnavailable));
            }
            const result = await keyValueStore.compareAndSwap(request, options);
            if (result.ok && request.value !== undefined) {
                write(request.key, request.value);
            }
            return result;
        },
    });

    return { write, remove, takeCopy, refused, epoch, historyOf, storeOf };
};
