import type { UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";
import type { PlacementRequest } from "../placement/placementRequest";
import type { UpstreamRecord } from "./upstreamRecord";

/** Estimate of the prompt parts that each engine has cached, from the requests that were sent to it. */
export interface PrefixDirectory {
    /** Tokens at the start of a prompt that the engine probably has cached. */
    readonly cachedTokens: (upstream: UpstreamRecord, parts: readonly PromptPart[], cacheTokens: number) => number;
    readonly record: (upstream: UpstreamRecord, request: PlacementRequest) => void;
    /** Notes that a peer sent a part to an upstream. */
    readonly touch: (upstreamId: UpstreamId, partId: string) => void;
}
