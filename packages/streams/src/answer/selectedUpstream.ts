import type { UpstreamId } from "@ibislanding/core";
import type { EngineClient } from "@ibislanding/upstreams";

/** An upstream selected for one attempt, with the figures that the recovery decision needs. */
export interface SelectedUpstream {
    readonly upstreamId: UpstreamId;
    readonly url: string;
    readonly client: EngineClient;
    /** Prompt tokens that the upstream is expected to have cached. */
    readonly expectedCachedTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Price of transferring one byte to this upstream from another one. */
    readonly pricePerByteFrom: (other: UpstreamId) => number;
    /** Price of one second of the upstream's machine time. */
    readonly pricePerSecond: number;
    /** Reports the outcome of the attempt to the router; must be called exactly once. */
    readonly release: (outcome: "finished" | "failed" | "moved" | "refused" | "cancelled") => void;
    /** Reports to the router how many prompt tokens the upstream found in its cache. */
    readonly recordPromptTokens: (promptTokens: number, cachedTokens: number) => void;
}
