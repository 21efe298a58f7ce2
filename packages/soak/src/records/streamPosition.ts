/** Where a caller takes up a stream: the attempt that brought its first event, and the last event that it has. */
export interface StreamPosition {
    readonly requestId: string;
    readonly lastEventId: number;
}
