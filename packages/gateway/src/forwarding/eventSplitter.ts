/** Splits a stream of server-sent events at event boundaries. */
export interface EventSplitter {
    /** Appends received bytes; returns the bytes of all events that are now complete. */
    readonly push: (chunk: Buffer) => Buffer;
    /** Returns the remaining bytes after the end of the stream. */
    readonly flush: () => Buffer;
    /** Whether bytes of an incomplete event were received. */
    readonly isInsideEvent: () => boolean;
    /** Id of the last complete event that has one. */
    readonly lastEventId: () => string | undefined;
}
