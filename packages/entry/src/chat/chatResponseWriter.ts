import type { Failure } from "@ibislanding/core";

/** Writes one chat response to the caller, as a stream or as a single body. */
export interface ChatResponseWriter {
    readonly started: (promptTokens: number) => void;
    /** Sends a token; resolves when the connection can accept more data. */
    readonly token: (text: string, eventId: string) => Promise<void>;
    readonly finished: (reason: "stop" | "length", totalTokens: number) => void;
    readonly failed: (failure: Failure) => void;
    /** Sends a heartbeat on a streamed response, so that a connection without tokens is not considered broken. */
    readonly heartbeat: () => void;
}
