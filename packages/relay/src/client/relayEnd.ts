/** One attempt to pass a request on, for logs and metrics. */
export interface RelayEnd {
    readonly requestId: string | undefined;
    /** `ip:port` of the peer's relay listener; undefined if no peer can help. */
    readonly peer: string | undefined;
    readonly outcome: "answered" | "refused" | "not-run" | "unknown" | "no-peer";
    readonly reason: string;
    /** Time to the head of the answer or to the failure. */
    readonly durationMs: number;
}
