/** Bounds of a ledger; every process must use the same shard count and retention. */
export interface LedgerLimits {
    readonly shardCount: number;
    /** Time for which the key of an ended action is kept. */
    readonly retentionMs: number;
    /** Bytes of ended records in a head above which they are sealed. */
    readonly sealBytes: number;
    /** Largest size of a sealed segment. */
    readonly maximumSegmentBytes: number;
    /** Number of small segments above which they are merged. */
    readonly mergeSegmentCount: number;
    /** Bytes of records in a head above which claims are refused. */
    readonly maximumHeadBytes: number;
    /** Bytes of a whole shard above which claims are refused. */
    readonly maximumShardBytes: number;
    /** Largest body of an answer that is kept. */
    readonly maximumAnswerBytes: number;
    /** Most operations in one commit. */
    readonly maximumBatch: number;
}
