import type { IncomingMessage } from "node:http";
import type { AnswerHead } from "./answerHead";
import type { RequestHead } from "./requestHead";
import type { SendHead } from "./sendHead";

/** Names of the headers between callers, the gateway and upstreams. */
export interface HeaderCodec {
    readonly readRequest: (request: IncomingMessage) => RequestHead;
    /** Lower-case names that only the gateway may send to upstreams, and that are dropped from callers' requests. */
    readonly reservedRequestHeaders: ReadonlySet<string>;
    readonly sendHeaders: (send: SendHead) => readonly (readonly [string, string])[];
    readonly readAnswer: (answer: IncomingMessage) => AnswerHead;
}
