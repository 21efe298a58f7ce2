import type { UpstreamAddress } from "../upstreams/upstreamAddress";

/** Names the memory of a stopped run; it can be used once. */
export interface RunHandle {
    /** The engine that stopped the run. */
    readonly source: UpstreamAddress;
    readonly handleId: string;
}
