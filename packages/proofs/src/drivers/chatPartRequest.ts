/** Parameters of one connection of a streamed chat; `lastEventId` resumes an earlier one. */
export interface ChatPartRequest {
    readonly url: string;
    readonly key: string;
    readonly body: string;
    readonly lastEventId: string | undefined;
    /** Time without any received data after which the connection is closed. */
    readonly silenceTimeoutMs: number;
}
