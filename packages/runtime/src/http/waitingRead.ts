/** The body of a connection that waits for its turn to be read. */
export interface WaitingRead {
    /** Processor time that its reads have taken so far. */
    readonly readMs: number;
    readonly close: () => void;
}
