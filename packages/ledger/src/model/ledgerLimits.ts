/** Size and retention limits of a ledger; every process must use the same shard count and retention. */
export interface LedgerLimits {
    readonly shardCount: number;
    /** Time for which the key of an ended action is retained. */
    readonly retentionMs: number;
    /** Bytes of ended records in a head above which they are moved to sealed segments. */
    readonly sealBytes: number;
    /** Maximum size of a sealed segment. */
    readonly maximumSegmentBytes: number;
    /** Number of small segments at which they are merged. */
    readonly mergeSegmentCount: number;
    /** Size of a head at which new claims are refused. */
    readonly maximumHeadBytes: number;
    /** Size of a whole shard at which new claims are refused. */
    readonly maximumShardBytes: number;
    /** Maximum size of a response body that is stored. */
    readonly maximumAnswerBytes: number;
    /** Maximum number of operations in one commit. */
    readonly maximumBatch: number;
}
