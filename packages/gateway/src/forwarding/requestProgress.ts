/** How far a request has come. */
export interface RequestProgress {
    /** Sends to upstreams. */
    attempts: number;
    /** Monotonic time of the answer's first byte. */
    firstByteAtMs: number | undefined;
}
