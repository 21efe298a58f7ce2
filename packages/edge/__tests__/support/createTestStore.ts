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
    /** Hosts whose writes are refused. */
    const readOnly = new Set<string>();
    const epoch = createStoreEpoch();
    epoch.observe(1);
    let revision = 0;

    /** Called after each write of a host. */
    const hooks = { onWrite: (_hostName: string, _key: string): void => undefined };

    const write = (key: string, value: string): number => {
        const entry = { key, value, version: ++revision };
        entries.set(key, entry);
        changes.push({ kind: "written", entry });
        return revision;
    };

    const remove = (key: string): number => {
        entries.delete(key);
        changes.push({ kind: "removed", key, version: ++revision });
        return revision;
    };

    /** Copies the store; returns a function that restores it from the copy, which starts a new epoch. */
    const takeCopy = (): () => void => {
        const copied = { entries: [...entries], changes: [...changes], revision };
        return () => {
            entries.clear();
            copied.entries.forEach(([key, entry]) => entries.set(key, entry));
            changes.splice(0, Infinity, ...copied.changes);
            ({ revision } = copied);
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

    /** Returns a store for one host, with the entries and revisions of the history. */
    const storeOf = (hostName: string): KeyValueStore => ({
        ...keyValueStore,
        get: async key =>
            refused.has(hostName) ? Err(createFailure(ErrorCode.KeyValueUnavailable)) : Ok(entries.get(key)),
        compareAndSwap: async ({ key, value, expectedVersion }) => {
            if (refused.has(hostName) || readOnly.has(hostName)) {
                return Err(createFailure(ErrorCode.KeyValueUnavailable));
            }
            if ((entries.get(key)?.version ?? 0) !== expectedVersion) {
                return Err(createFailure(ErrorCode.KeyValueConflict));
            }
            const version = value === undefined ? remove(key) : write(key, value);
            hooks.onWrite(hostName, key);
            return Ok(version);
        },
    });

    return {
        write,
        remove,
        valueOf: (key: string) => entries.get(key)?.value,
        hooks,
        takeCopy,
        refused,
        readOnly,
        epoch,
        historyOf,
        storeOf,
    };
};
