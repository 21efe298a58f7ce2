import type { UpstreamLoad } from "./upstreamLoad";

/** Load that a peer told. */
export interface ReportedLoad extends UpstreamLoad {
    /** Monotonic time at which it was heard. */
    readonly receivedAtMs: number;
}
