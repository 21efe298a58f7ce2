import type { CacheEvent, CacheEvents } from "@ibislanding/upstreams";

/** Cache events of an engine; they become visible after a delay and some are lost. */
export interface CacheEventLog {
    readonly publish: (type: CacheEvent["type"], blockHash: string) => void;
    /** Returns the visible events after a sequence number. */
    readonly after: (sequence: number) => CacheEvents;
}
