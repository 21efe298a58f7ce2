import type { UpstreamState } from "./upstreamState";

/** Health of upstreams, derived from their responses. The functions update the state that is passed to them. */
export interface UpstreamHealth {
    readonly recordSuccess: (state: UpstreamState, responseMs: number | undefined) => void;
    readonly recordFailure: (
        state: UpstreamState,
        siblings: readonly UpstreamState[],
        kind: "unreachable" | "failed",
    ) => void;
    /** Forgets failures, ejections and lateness. */
    readonly reset: (state: UpstreamState) => void;
    readonly isEjected: (state: UpstreamState) => boolean;
    /** Delay of the upstream that the load known to this host does not explain. */
    readonly unexplainedDelayMs: (state: UpstreamState) => number;
    /** Records by how much a first byte was later than predicted. */
    readonly recordLateness: (state: UpstreamState, latenessMs: number) => void;
}
