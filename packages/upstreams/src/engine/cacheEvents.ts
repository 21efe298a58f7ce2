import type { CacheEvent } from "./cacheEvent";

/** Cache events after a sequence number. */
export interface CacheEvents {
    readonly events: readonly CacheEvent[];
    /** Sequence number of the newest event of the engine, delivered or not. */
    readonly lastSequence: number;
}
