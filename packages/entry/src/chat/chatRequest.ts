import type { ChatMessage } from "@ibislanding/upstreams";

/** A validated chat request. */
export interface ChatRequest {
    /** Name as the caller sent it, `model` or `model:adapter`. */
    readonly requestedModel: string;
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly streamed: boolean;
    readonly includeUsage: boolean;
    readonly maximumTokens: number | undefined;
    readonly temperature: number | undefined;
    readonly seed: number | undefined;
    /** Hexadecimal SHA-256 of the body; event ids are bound to it. */
    readonly bodySha256: string;
}
