import type { Failure } from "@ibislanding/core";
import type { KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import { emptyConfiguration } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";
import { parseDocument } from "../documents/parseDocument";
import type { StoredConfiguration } from "../documents/storedConfiguration";

const READ_TIMEOUT_MS = 1_000;

const toStoredConfiguration = (entry: KeyValueEntry | undefined): Result<StoredConfiguration, Failure> =>
    entry === undefined
        ? Ok({ document: emptyConfiguration, storeVersion: 0 })
        : parseDocument(entry.value).map(document => ({ document, storeVersion: entry.version }));

/** Reads the stored configuration; the read may be stale, as it may be served by a lagging replica. */
export const readStoredConfiguration = async (
    store: KeyValueStore,
    signal?: AbortSignal,
): Promise<Result<StoredConfiguration, Failure>> => {
    const entry = await store.get(configurationKey, {
        cause: "configuration-read",
        timeoutMs: READ_TIMEOUT_MS,
        signal,
    });
    return entry.andThen(toStoredConfiguration);
};
