/** Splits a stream of server-sent events at event boundaries. */
export interface EventSplitter {
    /** Takes received bytes; returns those that complete events. */
    readonly push: (chunk: Buffer) => Buffer;
    /** Returns the bytes that are left when the stream has ended. */
    readonly flush: () => Buffer;
    /** Id of the last whole event. */
    readonly lastEventId: () => string | undefined;
}
