import type { IncomingMessage } from "node:http";
import type { AnswerHead } from "../codec/answerHead";

/** An answer whose head was checked and whose body is still to be read. */
export interface UpstreamAnswer {
    readonly head: AnswerHead;
    readonly body: IncomingMessage;
    /** Whether the connection failed; a body that ended by a reset is not complete although it looks so. */
    readonly hasFailed: () => boolean;
    /** Closes the connection. */
    readonly abandon: () => void;
}
