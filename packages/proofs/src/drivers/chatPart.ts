/** What one connection of a streamed chat brought. */
export interface ChatPart {
    /** `done` for a whole answer, `broken` for a connection that ended early, `refused` for an error answer. */
    readonly end: "done" | "broken" | "refused";
    readonly text: string;
    readonly lastEventId: string | undefined;
    readonly code: string;
    readonly retryAfterMs: number;
}
