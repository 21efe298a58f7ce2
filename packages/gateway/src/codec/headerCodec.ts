import type { IncomingMessage } from "node:http";
import type { RequestHead } from "./requestHead";
import type { ResponseHead } from "./responseHead";
import type { UpstreamRequestHead } from "./upstreamRequestHead";

/** Names of the headers between callers, the gateway and upstreams. */
export interface HeaderCodec {
    readonly readRequest: (request: IncomingMessage) => RequestHead;
    /** Lower-case names that only the gateway may send to upstreams, and that are dropped from callers' requests. */
    readonly reservedRequestHeaders: ReadonlySet<string>;
    readonly upstreamRequestHeaders: (head: UpstreamRequestHead) => readonly (readonly [string, string])[];
    readonly readResponse: (response: IncomingMessage) => ResponseHead;
}
