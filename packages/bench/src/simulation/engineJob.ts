import type { Arrival } from "../workload/arrival";

/** Sequence that a fake engine has queued or is running, with its remaining work in tokens. */
export interface EngineJob {
    readonly arrival: Arrival;
    state: "queued" | "prefill" | "decode";
    cachedTokens: number;
    prefillTokensLeft: number;
    answerTokensLeft: number;
}
