import type { ServiceName } from "@ibislanding/core";
import type { UpstreamState } from "./upstreamState";

/**
 * Estimates of how fast engines process prompts, from measured times to the first event, and of how busy they are at the
 * moment, from the gaps between the events of streams.
 */
export interface EngineSpeedEstimator {
    /** Prompt tokens that a typical engine of the service processes per millisecond. */
    readonly tokensPerMs: (service: ServiceName) => number;
    /** Part of the time to the first event that is independent of the prompt. */
    readonly overheadMs: (service: ServiceName) => number;
    /** Prompt tokens that this engine processes per millisecond, from its slowdown relative to the typical one. */
    readonly engineTokensPerMs: (state: UpstreamState, typicalSlowdown: number) => number;
    /** Records that events of a stream arrived a gap after the one before them. */
    readonly observeEvents: (
        state: UpstreamState,
        typicalSlowdown: number,
        arrived: { readonly events: number; readonly gapMs: number; },
        nowMs: number,
    ) => void;
    /**
     * Factor by which the engine's work currently takes longer than predicted, from the gaps of this host's streams: 1 as
     * predicted, and without recent events.
     */
    readonly delayFactor: (state: UpstreamState, nowMs: number) => number;
    /**
     * Adds a sample: the tokens of a prompt and of the backlog ahead of it, and the time that the engine took for them.
     */
    readonly observe: (state: UpstreamState, tokens: number, durationMs: number) => void;
}
