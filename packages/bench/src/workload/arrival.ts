import type { Scenario } from "../scenario/scenario";

/** Request of a workload, with its planned arrival time. */
export interface Arrival {
    readonly requestId: string;
    readonly atMs: number;
    readonly account: Scenario["accounts"][number];
    readonly entryHost: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly blockHashes: readonly string[];
}
