import { backoffDelayMs, ErrorCode, parseJson } from "@ibislanding/core";
import type { StoredRows } from "./storedRows";
import type { StoredRowsOptions } from "./storedRowsOptions";

const BACKOFF = { initialDelayMs: 200, maximumDelayMs: 5_000 };

/** A started host serves requests after this time, though the list could not be read. */
const READ_TIMEOUT_MS = 500;

/** Interval at which the list is compared with what is known to be stored. */
const COMPARE_INTERVAL_MS = 500;

/** All hosts decide at about the same time; most of them find the list written when their delay is over. */
const WRITE_JITTER_MS = 1_500;

/**
 * Starts to keep a list in the store.
 *
 * Handles the restart of all hosts at once, after which no host remembers the rows. The list is read at the start of a host,
 * and written when the state of a row changes, which is rare.
 */
export const createStoredRows = <Row>(options: StoredRowsOptions<Row>): StoredRows => {
    const { key, name, rows, observe, isRow, stateOf, store, storeEpoch, isRepresentative, clock, random, log } =
        options;
    /** Returns the sound rows of a list; undefined if it is none. */
    const parseRows = (value: string): readonly Row[] | undefined => {
        const parsed = parseJson(value);
        if (!Array.isArray(parsed)) {
            return undefined;
        }
        const sound = parsed.filter(isRow);
        if (sound.length < parsed.length) {
            log.write(`${name}_rows_rejected`, { key, rows: parsed.length - sound.length });
        }
        return sound;
    };
    const stop = new AbortController();
    const { signal } = stop;
    let isLoaded = false;
    let isRead = false;
    /** Whether the last attempt to read failed, which is logged once. */
    let isUnreadable = false;
    /** States that are known to be stored, within an epoch of the store. */
    let stored: ReadonlySet<string> = new Set();
    let storedEpoch = storeEpoch.current();

    const hasUnstored = (): boolean => rows().some(row => !stored.has(stateOf(row)));

    /** Merges the stored list into the own one; returns the version of the entry, or undefined if it can't be read. */
    const read = async (): Promise<number | undefined> => {
        const epoch = storeEpoch.current();
        const entry = await store.get(key, { cause: name, timeoutMs: READ_TIMEOUT_MS, signal });
        if (entry.err) {
            if (!isUnreadable) {
                log.write(`${name}_unreadable`, { key, reason: entry.val.code });
            }
            isUnreadable = true;
            return undefined;
        }
        isUnreadable = false;
        const listed = entry.val === undefined ? [] : parseRows(entry.val.value);
        if (listed === undefined) {
            log.write(`${name}_rejected`, { key, version: entry.val?.version });
        }
        observe(listed ?? []);
        stored = new Set((listed ?? []).map(stateOf));
        storedEpoch = epoch;
        isRead ||= listed !== undefined;
        return entry.val?.version ?? 0;
    };

    /** Returns whether the list is stored. */
    const write = async (): Promise<boolean> => {
        const expectedVersion = await read();
        if (expectedVersion === undefined) {
            return false;
        }
        const current = rows();
        if (!hasUnstored()) {
            return true;
        }
        const value = JSON.stringify(current);
        const written = await store.compareAndSwap({ key, expectedVersion, value }, { cause: name, signal });
        if (written.ok) {
            stored = new Set(current.map(stateOf));
            log.write(`${name}_stored`, { key, rows: current.length });
            return true;
        }
        // Another host has written meanwhile.
        return written.val.code === ErrorCode.KeyValueConflict && await read() !== undefined && !hasUnstored();
    };

    const repeat = async (act: () => Promise<boolean>): Promise<void> => {
        for (let attempt = 0; !signal.aborted; attempt++) {
            const isDone = await act();
            isLoaded = true;
            if (isDone) {
                return;
            }
            await clock.sleep(backoffDelayMs(attempt, BACKOFF, random), signal);
        }
    };

    const run = async (): Promise<void> => {
        await repeat(async () => await read() !== undefined);
        while (!signal.aborted) {
            await clock.sleep(COMPARE_INTERVAL_MS, signal);
            const isRestored = storedEpoch !== storeEpoch.current();
            if (!signal.aborted && isRepresentative() && (isRestored || hasUnstored())) {
                await clock.sleep(random.nextFloat() * WRITE_JITTER_MS, signal);
                await repeat(write);
            }
        }
    };
    const running = run();

    return {
        isLoaded: () => isLoaded,
        isRead: () => isRead,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            await running;
        },
    };
};
