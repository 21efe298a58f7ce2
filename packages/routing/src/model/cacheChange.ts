/** One change to the prefix cache of an engine. */
export interface CacheChange {
    readonly sequence: number;
    readonly type: "stored" | "evicted" | "cleared";
    /** Hash of the chain of prompt blocks up to and including this one. */
    readonly blockHash: string;
}
