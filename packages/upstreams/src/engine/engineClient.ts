import type { Failure, RequestId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { CacheEvents } from "./cacheEvents";
import type { EngineEvent } from "./engineEvent";
import type { EngineLoad } from "./engineLoad";
import type { EngineOrder } from "./engineOrder";
import type { ExportedCache } from "./exportedCache";
import type { GenerateRequest } from "./generateRequest";

/** Client of one model engine. */
export interface EngineClient {
    /**
     * Starts a generation. Fails with `upstream_unreachable`, `upstream_refused` or `upstream_leaving` if it was not
     * started, and with `upstream_silent` or, after an abort, `cancelled` if it may have been. The events end after
     * `finished`, or with a failure: `upstream_silent`, `upstream_leaving` or `upstream_invalid_answer`.
     */
    readonly generate: (
        request: GenerateRequest,
        signal: AbortSignal,
    ) => Promise<Result<AsyncIterable<Result<EngineEvent, Failure>>, Failure>>;
    /** Reattaches to a stream that the engine still generates, after the given number of tokens. */
    readonly attach: (
        requestId: RequestId,
        afterTokens: number,
        signal: AbortSignal,
    ) => Promise<Result<AsyncIterable<Result<EngineEvent, Failure>>, Failure>>;
    readonly cancel: (requestId: RequestId) => Promise<Result<void, Failure>>;
    readonly load: () => Promise<Result<EngineLoad, Failure>>;
    readonly cacheEvents: (afterSequence: number) => Promise<Result<CacheEvents, Failure>>;
    readonly exportCache: (requestId: RequestId) => Promise<Result<ExportedCache, Failure>>;
    /** Imports a KV cache from another engine; returns its handle and how many tokens need no recomputation. */
    readonly importCache: (fromUrl: string, handle: string) => Promise<Result<ExportedCache, Failure>>;
    /** Sends an order; fails with `stale_fencing_number` if the engine checks fencing numbers and rejects this one. */
    readonly order: (order: EngineOrder) => Promise<Result<void, Failure>>;
}
