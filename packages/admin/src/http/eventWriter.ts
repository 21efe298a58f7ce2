/** Writes server-sent events to one client. */
export interface EventWriter {
    /** Writes an event; resolves when the client is ready for the next one. */
    readonly event: (name: string, id: string, data: unknown) => Promise<void>;
    /** Writes a comment that keeps the connection alive; skipped while the client is not ready. */
    readonly heartbeat: () => void;
}
