import type { RequestListener } from "node:http";

/** Forwards callers' requests. */
export interface Gateway extends AsyncDisposable {
    readonly handle: RequestListener;
    /** Answers with `Connection: close` from now on, and refuses new requests after a while. */
    readonly beginStop: () => void;
    readonly requestsInFlight: () => number;
}
