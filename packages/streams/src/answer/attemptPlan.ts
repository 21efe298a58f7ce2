import type { SelectedUpstream } from "./selectedUpstream";

/** Upstream and mode of the next attempt: attach to a running generation, or start one. */
export type AttemptPlan =
    | { readonly type: "attach"; readonly upstream: SelectedUpstream; readonly afterTokens: number; }
    | {
        readonly type: "generate";
        readonly upstream: SelectedUpstream;
        readonly deliveredTokens: readonly string[];
        readonly cacheHandle: string | undefined;
    };
