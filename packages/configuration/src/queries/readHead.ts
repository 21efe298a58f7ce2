import type { Failure } from "@ibislanding/core";
import type { KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import { emptyConfiguration } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { ConfigurationHead } from "../documents/configurationHead";
import { configurationKey } from "../documents/configurationKey";
import { parseDocument } from "../documents/parseDocument";

const READ_TIMEOUT_MS = 1_000;

const toHead = (entry: KeyValueEntry | undefined): Result<ConfigurationHead, Failure> =>
    entry === undefined
        ? Ok({ document: emptyConfiguration, storeVersion: 0 })
        : parseDocument(entry.value).map(document => ({ document, storeVersion: entry.version }));

/** Reads the stored configuration; a lagging replica may return an old one. */
export const readHead = async (
    store: KeyValueStore,
    signal?: AbortSignal,
): Promise<Result<ConfigurationHead, Failure>> => {
    const entry = await store.get(configurationKey, {
        cause: "configuration-read",
        timeoutMs: READ_TIMEOUT_MS,
        signal,
    });
    return entry.andThen(toHead);
};
