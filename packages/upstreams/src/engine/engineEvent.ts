/** Event of an engine's stream; each event carries the id of its request. */
export type EngineEvent =
    | {
        readonly type: "started";
        readonly requestId: string;
        readonly promptTokens: number;
        /** Prompt tokens found in the prefix cache. */
        readonly cachedTokens: number;
    }
    /** `index` counts all tokens of the answer, including those delivered before a resume. */
    | { readonly type: "token"; readonly requestId: string; readonly index: number; readonly text: string; }
    | { readonly type: "heartbeat"; readonly requestId: string; }
    | {
        readonly type: "finished";
        readonly requestId: string;
        readonly reason: "stop" | "length";
        readonly totalTokens: number;
    };
