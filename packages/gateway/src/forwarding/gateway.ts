import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { RelayedRequest } from "./relayedRequest";

/** Reverse proxy that forwards clients' requests to upstreams. */
export interface Gateway extends AsyncDisposable {
    readonly handle: RequestListener;
    /** Serves a request that another host relays. */
    readonly handleRelayed: (request: IncomingMessage, response: ServerResponse, relayed: RelayedRequest) => void;
    /** Responds with `Connection: close` from now on, and refuses new requests after `stopAcceptMs`. */
    readonly beginStop: () => void;
    readonly requestsInFlight: () => number;
}
