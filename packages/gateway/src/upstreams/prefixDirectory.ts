import type { UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "./upstreamRecord";

/** Estimate of the prompt parts that each engine has cached, based on the requests that were sent to it. */
export interface PrefixDirectory {
    /** Number of leading prompt tokens that the engine probably has cached. */
    readonly cachedTokens: (upstream: UpstreamRecord, parts: readonly PromptPart[], cacheTokens: number) => number;
    readonly record: (upstream: UpstreamRecord, request: PlacementRequest) => void;
    /** Marks a part as used at an upstream, also when a peer placed the request. */
    readonly touch: (upstreamId: UpstreamId, partId: string) => void;
}
