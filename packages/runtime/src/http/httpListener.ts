/** A listening HTTP or HTTPS server. */
export interface HttpListener extends AsyncDisposable {
    /** Base URL of the listener. */
    readonly url: string;
    readonly port: number;
    /**
     * Stops accepting connections and closes idle ones. Requests in progress continue; connections that are still open
     * are not kept alive after a request that arrives later.
     */
    readonly stopAccepting: () => void;
    /** Resolves when no request is in progress (`true`) or after the timeout (`false`). */
    readonly waitUntilDrained: (timeoutMs: number) => Promise<boolean>;
    readonly activeRequests: () => number;
}
