/** Fields that all parts of a chat answer repeat. */
export interface ChatResponseHead {
    readonly requestId: string;
    readonly callerRequestId: string;
    readonly model: string;
    readonly createdAtMs: number;
}
