/** What an engine sends while it generates; each event names the request it belongs to. */
export type EngineEvent =
    | {
        readonly type: "started";
        readonly requestId: string;
        readonly promptTokens: number;
        /** Prompt tokens found in the prefix cache. */
        readonly cachedTokens: number;
    }
    /** `index` counts all tokens of the answer, also those delivered before a resume. */
    | { readonly type: "token"; readonly requestId: string; readonly index: number; readonly text: string; }
    | { readonly type: "heartbeat"; readonly requestId: string; }
    | {
        readonly type: "finished";
        readonly requestId: string;
        readonly reason: "stop" | "length";
        readonly totalTokens: number;
    };
