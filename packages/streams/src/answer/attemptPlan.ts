import type { SelectedUpstream } from "./selectedUpstream";

/** How the next attempt starts. */
export type AttemptPlan =
    | { readonly type: "attach"; readonly upstream: SelectedUpstream; readonly afterTokens: number; }
    | {
        readonly type: "generate";
        readonly upstream: SelectedUpstream;
        readonly deliveredTokens: readonly string[];
        readonly cacheHandle: string | undefined;
    };
