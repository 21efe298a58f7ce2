import type { UpstreamState } from "./upstreamState";

/** Health of an upstream from its answers; functions change the state that is passed. */
export interface UpstreamHealth {
    readonly recordSuccess: (state: UpstreamState, responseMs: number | undefined) => void;
    readonly recordFailure: (
        state: UpstreamState,
        siblings: readonly UpstreamState[],
        kind: "unreachable" | "failed",
    ) => void;
    readonly isEjected: (state: UpstreamState) => boolean;
    /** Time by which an upstream is behind what this host knows of its work. */
    readonly unexplainedDelayMs: (state: UpstreamState) => number;
    /** Takes the time by which a first byte came later than predicted. */
    readonly recordLateness: (state: UpstreamState, latenessMs: number) => void;
}
