/** Splits a stream of server-sent events at event boundaries. */
export interface EventSplitter {
    /** Appends received bytes; returns the bytes of all events, and lines between them, that are now complete. */
    readonly push: (chunk: Buffer) => Buffer;
    /** Number of received bytes that belong to an incomplete event; 0 at an event boundary. */
    readonly pendingBytes: () => number;
    /** Number of events that were complete after the last call of `push`; lines between events are none. */
    readonly completedEvents: () => number;
    /** Id of the last complete event that has one. */
    readonly lastEventId: () => string | undefined;
    /** Why what follows the bytes that were returned does not belong to the stream; undefined as long as it does. */
    readonly defect: () => string | undefined;
}
