import type { BodyDelimiter } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "../codec/responseHead";

/** A response whose head has been validated and whose body has not been read yet. */
export interface UpstreamResponse {
    readonly head: ResponseHead;
    readonly body: IncomingMessage;
    readonly delimiter: BodyDelimiter;
    /** To be called for each received part of the body. */
    readonly recordProgress: () => void;
    /** Whether the connection failed; a body that ended with a reset is incomplete although it appears complete. */
    readonly hasFailed: () => boolean;
    readonly closeConnection: () => void;
}
