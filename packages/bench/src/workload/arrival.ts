import type { Scenario } from "../scenario/scenario";

/** Request of a workload, with its planned arrival time. */
export interface Arrival {
    readonly requestId: string;
    readonly atMs: number;
    readonly account: Scenario["accounts"][number];
    readonly entryHost: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    /** Hashes of the complete blocks of the system prompt, the shared prefix and the unique part, in this order. */
    readonly blockHashes: readonly string[];
}
