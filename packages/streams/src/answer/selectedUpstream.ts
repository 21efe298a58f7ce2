import type { UpstreamId } from "@ibislanding/core";
import type { EngineClient } from "@ibislanding/upstreams";

/** An upstream that was chosen for one attempt. */
export interface SelectedUpstream {
    readonly upstreamId: UpstreamId;
    readonly url: string;
    readonly client: EngineClient;
    /** Prompt tokens that the upstream is expected to have cached. */
    readonly expectedCachedTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Price of a byte sent to this upstream from another one. */
    readonly pricePerByteFrom: (other: UpstreamId) => number;
    /** Price of a second of the upstream's time. */
    readonly pricePerSecond: number;
    /** Ends the attempt in the accounts of the router; call once. */
    readonly release: (outcome: "finished" | "failed" | "moved" | "refused" | "cancelled") => void;
    /** Tells the router how many prompt tokens the upstream found in its cache. */
    readonly recordPromptTokens: (promptTokens: number, cachedTokens: number) => void;
}
