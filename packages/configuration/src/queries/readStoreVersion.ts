import { ErrorCode, type Failure } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import { Ok, type Result } from "ts-results";
import { configurationKey } from "../documents/configurationKey";

const READ_TIMEOUT_MS = 1_000;

/**
 * Returns the current version of the configuration key, 0 when nothing is stored. Unlike a plain read, it is never
 * stale: it is a conditional delete that requires the key to be absent, which changes nothing, and fails with the
 * current version when the key exists.
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
