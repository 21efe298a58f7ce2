/** A listening HTTP server. */
export interface HttpListener extends AsyncDisposable {
    /** Base URL of the listener. */
    readonly url: string;
    readonly port: number;
    /** Takes no new connections and asks callers to close idle ones; requests in hand go on. */
    readonly stopAccepting: () => void;
    /** Resolves when no request is in hand, or after the time. */
    readonly waitUntilDrained: (timeoutMs: number) => Promise<boolean>;
    readonly activeRequests: () => number;
}
