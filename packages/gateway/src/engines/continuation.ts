import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { RunHandle } from "./runHandle";

/** Where a moved run goes on. */
export interface Continuation {
    readonly upstream: UpstreamRecord;
    readonly handle: RunHandle;
}
