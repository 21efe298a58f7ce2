/** One connection of this host to a start of an upstream. */
export interface TrackedConnection {
    /** To be called when the upstream has accepted the connection. */
    readonly recordEstablished: () => void;
    /** To be called when the connection is closed or could not be opened. */
    readonly end: () => void;
}
