/** Position of a document set in the history of its source; ordered by epoch, then by revision. */
export interface DocumentPosition {
    /** Epoch of the store; rises when the store was restored from a copy. */
    readonly epoch: number;
    readonly revision: number;
}
