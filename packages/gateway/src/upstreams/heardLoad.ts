import type { UpstreamLoad } from "./upstreamLoad";

/** Load that a peer told. */
export interface HeardLoad extends UpstreamLoad {
    /** Monotonic time at which it was heard. */
    readonly heardAtMs: number;
}
