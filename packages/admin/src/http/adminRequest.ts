import type { RequestId } from "@ibislanding/core";
import type { IncomingHttpHeaders } from "node:http";
import type { Operator } from "../operators/operator";

/** A parsed and authenticated request. */
export interface AdminRequest {
    readonly requestId: RequestId;
    readonly operator: Operator;
    /** Values of the route's path parameters. */
    readonly parameters: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    /** Parsed JSON body; undefined for requests without one. */
    readonly body: unknown;
    /** Aborted when the client disconnects. */
    readonly signal: AbortSignal;
}
