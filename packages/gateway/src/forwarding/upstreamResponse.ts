import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "../codec/responseHead";

/** An answer whose head was checked and whose body is still to be read. */
export interface UpstreamResponse {
    readonly head: ResponseHead;
    readonly body: IncomingMessage;
    /** Whether the connection failed; a body that ended by a reset is not complete although it looks so. */
    readonly hasFailed: () => boolean;
    /** Closes the connection. */
    readonly closeConnection: () => void;
}
