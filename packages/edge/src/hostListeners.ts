/** The listeners for callers and for the load balancer's readiness checks. */
export interface HostListeners extends AsyncDisposable {
    /** Closes the listener for callers and idle connections; connections with a request in flight stay open. */
    readonly stopAcceptingCallers: () => void;
}
