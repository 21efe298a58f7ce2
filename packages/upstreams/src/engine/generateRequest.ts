import type { RequestId } from "@ibislanding/core";
import type { ChatMessage } from "./chatMessage";

/** Request to an engine to generate the answer of a chat. */
export interface GenerateRequest {
    readonly requestId: RequestId;
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly maximumTokens: number | undefined;
    readonly temperature: number | undefined;
    /** Sampling seed, so that a repeated generation gives the same tokens. */
    readonly seed: number;
    /** Scheduling priority; requests with a greater number are served first. */
    readonly priority: number;
    /** Tokens already delivered to the caller; the engine continues after them. */
    readonly deliveredTokens: readonly string[];
    /** Time for which the engine continues to generate without a reader, so that another entry host can attach. */
    readonly detachedGraceMs: number;
    /** Handle of the KV cache from which to continue, as returned by `importCache`. */
    readonly cacheHandle: string | undefined;
}
