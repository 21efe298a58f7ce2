/** Change of an engine's prefix cache; events come late and some are missing. */
export interface CacheEvent {
    readonly sequence: number;
    readonly type: "stored" | "evicted" | "cleared";
    /** Hash of the chain of prompt blocks up to this one. */
    readonly blockHash: string;
}
