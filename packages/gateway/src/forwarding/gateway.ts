import type { RequestListener } from "node:http";

/** Reverse proxy that forwards clients' requests to upstreams. */
export interface Gateway extends AsyncDisposable {
    readonly handle: RequestListener;
    /** Responds with `Connection: close` from now on, and refuses new requests after `stopAcceptMs`. */
    readonly beginStop: () => void;
    readonly requestsInFlight: () => number;
}
