import type { KeyValueStore } from "./keyValueStore";

/** In-memory key-value store with fault injection, for tests. */
export interface FakeKeyValueStore extends KeyValueStore {
    /** While set, every call fails with `key_value_unavailable`. */
    readonly setUnavailable: (unavailable: boolean) => void;
    /** Applies the next `count` writes but reports their outcome as unknown. */
    readonly dropResponses: (count: number) => void;
    /** Drops the next `count` writes and reports their outcome as unknown. */
    readonly dropRequests: (count: number) => void;
    /** Copies the entries and the version counter; returns a function that restores the store from the copy. */
    readonly takeCopy: () => () => void;
    /** Calls made so far, by cause. */
    readonly callCounts: () => Readonly<Record<string, number>>;
    /** Bytes of values written so far, by cause. */
    readonly writtenBytes: () => Readonly<Record<string, number>>;
}
