import type { UpstreamId } from "@ibislanding/core";

/** Event of an answer stream, which yields each token exactly once. */
export type AnswerEvent =
    | { readonly type: "started"; readonly promptTokens: number; readonly cachedTokens: number; }
    | { readonly type: "token"; readonly index: number; readonly text: string; readonly upstreamId: UpstreamId; }
    | { readonly type: "finished"; readonly reason: "stop" | "length"; readonly totalTokens: number; };
