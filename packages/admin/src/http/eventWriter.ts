/** Writes server-sent events to one client. */
export interface EventWriter {
    /** Writes an event; resolves when the client can take the next one. */
    readonly event: (name: string, id: string, data: unknown) => Promise<void>;
    /** Writes a comment that keeps the connection alive. */
    readonly heartbeat: () => void;
}
