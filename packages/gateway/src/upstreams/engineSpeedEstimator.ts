import type { ServiceName } from "@ibislanding/core";
import type { UpstreamState } from "./upstreamState";

/** Estimates of how fast engines process prompts, from measured times to the first event. */
export interface EngineSpeedEstimator {
    /** Prompt tokens that a typical engine of the service processes per millisecond. */
    readonly tokensPerMs: (service: ServiceName) => number;
    /** Part of the time to the first event that is independent of the prompt. */
    readonly overheadMs: (service: ServiceName) => number;
    /** Prompt tokens that this engine processes per millisecond, from its slowdown relative to the typical one. */
    readonly engineTokensPerMs: (state: UpstreamState, typicalSlowdown: number) => number;
    /**
     * Adds a sample: the tokens of a prompt and of the backlog ahead of it, and the time that the engine took for them.
     */
    readonly observe: (state: UpstreamState, tokens: number, durationMs: number) => void;
}
