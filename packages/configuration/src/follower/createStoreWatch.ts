import { backoffDelayMs, type Failure } from "@ibislanding/core";
import type { KeyValueEntry } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";
import { parseDocument } from "../documents/parseDocument";
import { readHead } from "../queries/readHead";
import type { ConfigurationFollowerOptions } from "./configurationFollowerOptions";
import { defaultFollowerStrategy } from "./defaultFollowerStrategy";
import type { StoreWatch } from "./storeWatch";

const WAIT_MS = 30_000;

/** Ends a watch whose connection went silent. */
const WATCH_TIMEOUT_MS = 35_000;

/** Pause after an answer that is not newer, so that a lagging replica causes no busy loop. */
const STALE_ANSWER_PAUSE_MS = 500;

const BACKOFF = { initialDelayMs: 200, maximumDelayMs: 5_000 };

/** Creates the watch; `onDocument` gets every document read, also old ones. */
export const createStoreWatch = (
    options: ConfigurationFollowerOptions,
    onDocument: (document: ConfigurationDocument) => void,
): StoreWatch => {
    const { store, clock, random, strategy = defaultFollowerStrategy } = options;
    let storeVersion = 0;
    let failures = 0;

    const pauseAfterFailure = async (signal: AbortSignal): Promise<void> => {
        failures++;
        await clock.sleep(backoffDelayMs(failures - 1, BACKOFF, random), signal);
    };

    /** Reads the head once; tells whether the read was current. */
    const readFirst = async (signal: AbortSignal): Promise<boolean> => {
        const head = await readHead(store, signal);
        if (head.err || !(await strategy.isCurrentRead(store, head.val, signal))) {
            return false;
        }
        failures = 0;
        storeVersion = head.val.storeVersion;
        onDocument(head.val.document);
        return true;
    };

    const takeAnswer = (answer: Result<KeyValueEntry | undefined, Failure>): boolean => {
        if (answer.err) {
            return false;
        }
        failures = 0;
        const entry = answer.val;
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
        const answer = await store.waitForChange(configurationKey, knownVersion, WAIT_MS, watchOptions);
        if (!takeAnswer(answer)) {
            await pauseAfterFailure(signal);
        }
        else if (storeVersion === knownVersion && clock.monotonicMs() - startedAtMs < STALE_ANSWER_PAUSE_MS) {
            await clock.sleep(STALE_ANSWER_PAUSE_MS, signal);
        }
    };

    return {
        run: async signal => {
            while (!signal.aborted && !(await readFirst(signal))) {
                await pauseAfterFailure(signal);
            }
            while (!signal.aborted) {
                await watchOnce(signal);
            }
        },
        storeVersion: () => storeVersion,
        reachable: () => failures === 0,
    };
};
