import type { Failure, RequestId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { UpstreamAddress } from "../upstreams/upstreamAddress";
import type { RunHandle } from "./runHandle";

/** Port to what model engines do beyond answering requests. */
export interface EnginePort {
    /**
     * Stops a running request and copies its memory to another engine. Fails with `upstream_refused` when the engine
     * runs no such request. When the copy can't be made, the handle names the stopped run at its source.
     */
    readonly moveRun: (
        source: UpstreamAddress,
        requestId: RequestId,
        target: UpstreamAddress,
    ) => Promise<Result<{ readonly handle: RunHandle; readonly isCopied: boolean; }, Failure>>;
}
