import type { IncomingMessage, ServerResponse } from "node:http";
import type { ClientResponse } from "./clientResponse";
import type { ConnectionPool } from "./connectionPool";
import type { GatewayOptions } from "./gatewayOptions";

/** One caller's request with what serves it. */
export interface ServeOptions extends GatewayOptions {
    readonly pool: ConnectionPool;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly clientResponse: ClientResponse;
    /** Whether the process takes no new requests. */
    readonly refusesNewRequests: boolean;
}
