import type { UpstreamAddress } from "../upstreams/upstreamAddress";

/** Reference to the KV cache of a stopped run; it can be used only once. */
export interface RunHandle {
    /** The engine that stopped the run. */
    readonly source: UpstreamAddress;
    readonly handleId: string;
}
