import type { ServiceName } from "@ibislanding/core";
import type { UpstreamState } from "./upstreamState";

/** How fast engines process prompts, learned from their first events. */
export interface EngineSpeedEstimator {
    /** Prompt tokens that the typical engine of a service processes in a millisecond. */
    readonly tokensPerMs: (service: ServiceName) => number;
    /** Time to the first event that does not depend on the prompt. */
    readonly overheadMs: (service: ServiceName) => number;
    /** Prompt tokens that this engine processes in a millisecond, by its slowness against the typical one. */
    readonly engineTokensPerMs: (state: UpstreamState, typicalSlowdown: number) => number;
    /** Takes the time that an engine took for a prompt and those before it. */
    readonly observe: (state: UpstreamState, tokens: number, durationMs: number) => void;
}
