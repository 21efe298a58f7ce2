/** Change of an engine's prefix cache; events arrive with a delay and some are lost. */
export interface CacheEvent {
    readonly sequence: number;
    readonly type: "stored" | "evicted" | "cleared";
    /** Hash of the chain of prompt blocks up to this one. */
    readonly blockHash: string;
}
