import type { Arrival } from "../workload/arrival";

/** One sequence in a fake engine. */
export interface EngineJob {
    readonly arrival: Arrival;
    state: "queued" | "prefill" | "decode";
    cachedTokens: number;
    prefillTokensLeft: number;
    answerTokensLeft: number;
}
