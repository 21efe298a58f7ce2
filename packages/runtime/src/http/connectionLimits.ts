/** Limits on the connections of a listener. */
export interface ConnectionLimits {
    /** Open connections; a new one beyond them replaces one that does nothing, or is closed itself. */
    readonly maximumConnections: number;
    /**
     * Bytes that a connection may send one after another without any of them belonging to a request that is still to be answered:
     * empty lines, an unfinished head, or a body that was refused. More than a head and one read from the socket.
     */
    readonly maximumUnusedBytes: number;
    /** Requests on one connection that have arrived and are not answered yet. */
    readonly maximumPendingRequests: number;
}
