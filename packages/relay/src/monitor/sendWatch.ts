/** Observation of one send to an upstream. */
export interface SendWatch {
    /** Aborts with the request, or when the send hangs at a host that reaches no upstream. */
    readonly signal: AbortSignal;
    /** To be called for each part of the answer that arrives. */
    readonly recordProgress: () => void;
    readonly end: () => void;
}
