import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { RunHandle } from "./runHandle";

/** Engine at which a stopped run is continued, with the handle of its KV cache. */
export interface Continuation {
    readonly upstream: UpstreamRecord;
    readonly handle: RunHandle;
}
