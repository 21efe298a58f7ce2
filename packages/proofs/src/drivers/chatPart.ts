/** Result of one connection of a streamed chat. */
export interface ChatPart {
    /** `done` for a complete answer, `broken` for a connection that ended early, `refused` for an error response. */
    readonly end: "done" | "broken" | "refused";
    readonly text: string;
    readonly lastEventId: string | undefined;
    readonly code: string;
    readonly retryAfterMs: number;
}
