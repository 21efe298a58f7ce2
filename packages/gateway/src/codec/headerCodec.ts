import type { IncomingMessage } from "node:http";
import type { RequestHead } from "./requestHead";
import type { ResponseHead } from "./responseHead";
import type { UpstreamRequestHead } from "./upstreamRequestHead";

/** Maps the headers of clients and upstreams to the types of the gateway, which is independent of header names. */
export interface HeaderCodec {
    readonly readRequest: (request: IncomingMessage) => RequestHead;
    /**
     * Lower-case names of headers that only the gateway may send to upstreams; they are removed from clients' requests.
     */
    readonly reservedRequestHeaders: ReadonlySet<string>;
    readonly upstreamRequestHeaders: (head: UpstreamRequestHead) => readonly (readonly [string, string])[];
    readonly readResponse: (response: IncomingMessage) => ResponseHead;
}
