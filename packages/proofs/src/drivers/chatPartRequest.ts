/** One connection of a streamed chat. */
export interface ChatPartRequest {
    readonly url: string;
    readonly key: string;
    readonly body: string;
    readonly lastEventId: string | undefined;
    /** Time without any byte after which the connection counts as silent. */
    readonly silenceTimeoutMs: number;
}
