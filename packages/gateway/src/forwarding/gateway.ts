import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { RelayedRequest } from "./relayedRequest";

/** Reverse proxy that forwards clients' requests to upstreams. */
export interface Gateway extends AsyncDisposable {
    readonly handle: RequestListener;
    /** Serves a request that another host relays. */
    readonly handleRelayed: (request: IncomingMessage, response: ServerResponse, relayed: RelayedRequest) => void;
    /**
     * Responds with `Connection: close` from now on. After `stopAcceptMs`, new requests are refused, as are those that have not run
     * and may last longer than `stopGraceMs`.
     */
    readonly beginStop: () => void;
    /**
     * Answers all unfinished requests: 503 states that one has not run, 504 that its outcome is not known; streams that have begun are
     * broken off. Resolves when the answers are sent, or after a short time.
     */
    readonly endStop: () => Promise<void>;
    readonly requestsInFlight: () => number;
    /** Memory that the bodies of all requests and answers hold. */
    readonly heldBodyBytes: () => number;
}
