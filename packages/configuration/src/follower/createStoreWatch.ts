import { backoffDelayMs, type Failure } from "@ibislanding/core";
import type { KeyValueEntry } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";
import { parseDocument } from "../documents/parseDocument";
import { readStoredConfiguration } from "../queries/readStoredConfiguration";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { defaultFollowerStrategy } from "./defaultFollowerStrategy";
import type { StoreWatch } from "./storeWatch";

const LONG_POLL_MS = 30_000;

/** Timeout of a long poll, above its wait time; detects connections that no longer deliver data. */
const WATCH_TIMEOUT_MS = 35_000;

/** Delay after a response that is not newer, so that a lagging replica does not cause a busy loop. */
const STALE_RESPONSE_DELAY_MS = 500;

const BACKOFF = { initialDelayMs: 200, maximumDelayMs: 5_000 };

/** Creates the watch; `onDocument` is called with every document read, including outdated ones. */
export const createStoreWatch = (
    options: ConfigurationFollowerOptions,
    onDocument: (document: ConfigurationDocument) => void,
): StoreWatch => {
    const { store, clock, random, strategy = defaultFollowerStrategy } = options;
    let storeVersion = 0;
    let failures = 0;

    const backOff = async (signal: AbortSignal): Promise<void> => {
        failures++;
        await clock.sleep(backoffDelayMs(failures - 1, BACKOFF, random), signal);
    };

    /** Reads the stored configuration once; returns whether the read succeeded and was not stale. */
    const readInitial = async (signal: AbortSignal): Promise<boolean> => {
        const stored = await readStoredConfiguration(store, signal);
        if (stored.err || !(await strategy.isCurrentRead(store, stored.val, signal))) {
            return false;
        }
        failures = 0;
        storeVersion = stored.val.storeVersion;
        onDocument(stored.val.document);
        return true;
    };

    const handleResponse = (response: Result<KeyValueEntry | undefined, Failure>): boolean => {
        if (response.err) {
            return false;
        }
        failures = 0;
        const entry = response.val;
        if (entry !== undefined && entry.version > storeVersion) {
            storeVersion = entry.version;
            parseDocument(entry.value).map(onDocument);
        }
        return true;
    };

    const watchOnce = async (signal: AbortSignal): Promise<void> => {
        const knownVersion = storeVersion;
        const startedAtMs = clock.monotonicMs();
        const watchOptions = { cause: "configuration-watch" as const, timeoutMs: WATCH_TIMEOUT_MS, signal };
        const response = await store.waitForChange(configurationKey, knownVersion, LONG_POLL_MS, watchOptions);
        if (!handleResponse(response)) {
            await backOff(signal);
        }
        else if (storeVersion === knownVersion && clock.monotonicMs() - startedAtMs < STALE_RESPONSE_DELAY_MS) {
            await clock.sleep(STALE_RESPONSE_DELAY_MS, signal);
        }
    };

    return {
        run: async signal => {
            while (!signal.aborted && !(await readInitial(signal))) {
                await backOff(signal);
            }
            while (!signal.aborted) {
                await watchOnce(signal);
            }
        },
        storeVersion: () => storeVersion,
        isReachable: () => failures === 0,
    };
};
