import type { Failure, RequestId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { UpstreamAddress } from "../upstreams/upstreamAddress";
import type { RunHandle } from "./runHandle";

/** Port to the control operations of model engines. */
export interface EnginePort {
    /**
     * Stops a running request and copies its KV cache to another engine. If the copy fails, the handle refers to the
     * stopped run at its source. Fails with `upstream_refused` if the engine is not running the request or does not stop
     * it, with `upstream_unreachable` if nothing was sent, and with any other code if the run may have been stopped.
     */
    readonly moveRun: (
        source: UpstreamAddress,
        requestId: RequestId,
        target: UpstreamAddress,
    ) => Promise<Result<{ readonly handle: RunHandle; readonly isCopied: boolean; }, Failure>>;
}
