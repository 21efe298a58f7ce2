import { ErrorCode, type Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { Ok, type Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";

const READ_TIMEOUT_MS = 1_000;

/**
 * Reads the current version of the configuration key, 0 when nothing is stored, without the staleness of plain reads:
 * a conditional delete of an absent key changes nothing, and its conflict names the version.
 */
export const readStoreVersion = async (
    store: KeyValueStore,
    signal?: AbortSignal,
): Promise<Result<number, Failure>> => {
    const result = await store.compareAndSwap(
        { key: configurationKey, expectedVersion: 0, value: undefined },
        { cause: "configuration-read", timeoutMs: READ_TIMEOUT_MS, signal },
    );
    if (result.ok) {
        return Ok(0);
    }
    return result.val.code === ErrorCode.KeyValueConflict ? Ok(Number(result.val.details?.currentVersion)) : result;
};
