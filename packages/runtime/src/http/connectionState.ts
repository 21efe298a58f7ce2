import type { IncomingMessage, ServerResponse } from "node:http";

/** What is known of an open connection. */
export interface ConnectionState {
    /** The request that arrives, or the last one that arrived. */
    request: IncomingMessage | undefined;
    response: ServerResponse | undefined;
    /** Responses that are not sent to their end. */
    readonly pending: Set<ServerResponse>;
    /** Bytes since the last one that was of use. */
    unusedBytes: number;
    lastActiveMs: number;
    /** Whether its bytes are counted before the parser sees them. */
    isWatched: boolean;
    /** Bytes received when its last request arrived. */
    bytesBeforeRequest: number;
    /** Time that costly reads of the body of its last request have taken. */
    costlyReadMs: number;
    /** Bytes written when the connection was last seen to make progress with its answers. */
    writtenBytes: number;
    lastWrittenMs: number;
}
