/** One change of an engine's prefix cache. */
export interface CacheChange {
    readonly sequence: number;
    readonly type: "stored" | "evicted" | "cleared";
    /** Hash of the chain of prompt blocks up to this one. */
    readonly blockHash: string;
}
