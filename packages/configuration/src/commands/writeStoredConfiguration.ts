import type { Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";
import { serializeDocument } from "../documents/serializeDocument";

const WRITE_TIMEOUT_MS = 2_000;

/** Writes a document if the key still has the expected version; returns the new version. */
export const writeStoredConfiguration = (
    store: KeyValueStore,
    document: ConfigurationDocument,
    expectedVersion: number,
): Promise<Result<number, Failure>> =>
    store.compareAndSwap(
        { key: configurationKey, expectedVersion, value: serializeDocument(document) },
        { cause: "configuration-write", timeoutMs: WRITE_TIMEOUT_MS },
    );
