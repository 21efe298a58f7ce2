import type { CacheEvent, CacheEvents } from "@ibislanding/upstreams";

/** Cache events of an engine, which become visible late and of which some are lost. */
export interface CacheEventLog {
    readonly publish: (type: CacheEvent["type"], blockHash: string) => void;
    /** Returns the visible events after a sequence number. */
    readonly after: (sequence: number) => CacheEvents;
}
