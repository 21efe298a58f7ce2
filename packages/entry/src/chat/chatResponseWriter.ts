import type { Failure } from "@ibislanding/core";

/** Sends one answer to a caller, streamed or whole. */
export interface ChatResponseWriter {
    readonly started: (promptTokens: number) => void;
    /** Sends a token; resolves when the connection takes more. */
    readonly token: (text: string, eventId: string) => Promise<void>;
    readonly finished: (reason: "stop" | "length", totalTokens: number) => void;
    readonly failed: (failure: Failure) => void;
    /** Keeps a connection without tokens from being taken for dead. */
    readonly heartbeat: () => void;
}
