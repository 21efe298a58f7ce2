/** What arrives on a connection. */
export interface ReceivingConnection {
    /** Messages of which a part may have arrived. */
    unfinishedMessages: number;
    /** Bytes received when it last had no unfinished message. */
    bytesBefore: number;
    /** Whether it has begun a call. */
    hasCalled: boolean;
    readonly receivedBytes: () => number;
    readonly close: () => void;
}
