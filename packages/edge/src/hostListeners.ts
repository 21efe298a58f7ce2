/** The listeners for callers and for the balancer's question whether this host is ready. */
export interface HostListeners extends AsyncDisposable {
    /** Takes no new connections from callers; those in use stay open. */
    readonly stopAcceptingCallers: () => void;
}
