import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { KeyValueCallOptions } from "./keyValueCallOptions";
import type { KeyValueChanges } from "./keyValueChanges";
import type { KeyValueSnapshot } from "./keyValueSnapshot";

/** Port to the change history of a key-value service that numbers all of its changes. */
export interface KeyValueHistory {
    /** Lists the entries under a prefix; changes after the returned revision may be included already. */
    readonly snapshot: (prefix: string, options: KeyValueCallOptions) => Promise<Result<KeyValueSnapshot, Failure>>;
    /**
     * Waits until a key under the prefix changes after the revision, or the wait time passes. Fails with
     * `history_lost` when the store no longer has all of these changes.
     */
    readonly changesAfter: (
        prefix: string,
        revision: number,
        waitMs: number,
        options: KeyValueCallOptions,
    ) => Promise<Result<KeyValueChanges, Failure>>;
}
