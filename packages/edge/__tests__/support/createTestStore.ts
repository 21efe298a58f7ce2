import { createFailure, createSystemClock, ErrorCode } from "@ibislanding/core";
import {
    createFakeKeyValueStore,
    createStoreEpoch,
    type KeyValueCallOptions,
    type KeyValueChange,
    type KeyValueEntry,
    type KeyValueHistory,
    type KeyValueStore,
} from "@ibislanding/platform";
import { Err, Ok } from "ts-results";

const POLL_MS = 10;

/** Time-out of a call that states none. */
const DEFAULT_TIMEOUT_MS = 1_000;

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
    /** Whether calls get no answer, and how often that has begun. */
    const silence = { isSilent: false, count: 0 };

    /** Waits until a lost call times out. */
    const loseCall = async ({ timeoutMs = DEFAULT_TIMEOUT_MS, signal }: KeyValueCallOptions, startedAtMs: number) => {
        await clock.sleep(Math.max(0, startedAtMs + timeoutMs - clock.monotonicMs()), signal);
        return Err(createFailure(ErrorCode.KeyValueUnavailable));
    };

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
        snapshot: async (prefix, options) => {
            if (silence.isSilent) {
                return loseCall(options, clock.monotonicMs());
            }
            return refused.has(hostName)
                ? Err(createFailure(ErrorCode.KeyValueUnavailable))
                : Ok({
                    epoch: epoch.current(),
                    revision,
                    entries: [...entries.values()].filter(({ key }) => key.startsWith(prefix)),
                });
        },
        changesAfter: async (prefix, after, waitMs, options) => {
            const startedAtMs = clock.monotonicMs();
            const giveUpAtMs = startedAtMs + waitMs;
            const { count } = silence;
            if (silence.isSilent) {
                return loseCall(options, startedAtMs);
            }
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
                if (silence.count > count) {
                    return loseCall(options, startedAtMs);
                }
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
            silence.isSilent || refused.has(hostName)
                ? Err(createFailure(ErrorCode.KeyValueUnavailable))
                : Ok(entries.get(key)),
        compareAndSwap: async ({ key, value, expectedVersion }) => {
            if (silence.isSilent || refused.has(hostName) || readOnly.has(hostName)) {
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
        /** From now on no call is answered, nor are those that wait; returns a function that ends this for later calls. */
        fallSilent: (): () => void => {
            silence.isSilent = true;
            silence.count++;
            return () => {
                silence.isSilent = false;
            };
        },
        epoch,
        historyOf,
        storeOf,
    };
};
