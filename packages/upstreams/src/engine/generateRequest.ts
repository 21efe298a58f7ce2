import type { RequestId } from "@ibislanding/core";
import type { ChatMessage } from "./chatMessage";

/** Order to an engine to generate the answer of a chat. */
export interface GenerateRequest {
    readonly requestId: RequestId;
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly maximumTokens: number | undefined;
    readonly temperature: number | undefined;
    /** Seed of the sampling, so that a repeated generation gives the same tokens. */
    readonly seed: number;
    /** A greater number is served first. */
    readonly priority: number;
    /** Tokens already delivered to the caller; the engine goes on behind them. */
    readonly deliveredTokens: readonly string[];
    /** Time for which the engine goes on without a reader, so that another entry host can attach. */
    readonly detachedGraceMs: number;
    /** Handle of an exported KV cache from which to continue. */
    readonly cacheHandle: string | undefined;
}
