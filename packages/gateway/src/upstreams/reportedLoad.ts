import type { UpstreamLoad } from "./upstreamLoad";

/** Load of one upstream as reported by a peer. */
export interface ReportedLoad extends UpstreamLoad {
    /** Monotonic time at which the report was received. */
    readonly receivedAtMs: number;
}
