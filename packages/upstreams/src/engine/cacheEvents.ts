import type { CacheEvent } from "./cacheEvent";

/** Cache events that follow a given sequence number. */
export interface CacheEvents {
    readonly events: readonly CacheEvent[];
    /** Sequence number of the engine's latest event, even if it is not among `events`. */
    readonly lastSequence: number;
}
