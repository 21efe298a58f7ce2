/** Fields common to all chunks of a chat response. */
export interface ChatResponseHead {
    readonly requestId: string;
    readonly callerRequestId: string;
    readonly model: string;
    readonly createdAtMs: number;
}
