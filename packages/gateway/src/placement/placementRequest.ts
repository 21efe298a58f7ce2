import type { UpstreamId } from "@ibislanding/core";
import type { PromptPart } from "../codec/promptPart";

/** What placement needs to know of a request. */
export interface PlacementRequest {
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
    readonly objectiveMs: number;
    /** Time that is left until the final answer is due. */
    readonly remainingMs: number;
    /** Whether the request may run only where there is spare room, as its account is above its rate. */
    readonly requiresSpareCapacity: boolean;
    /** Upstreams that refused or lost the request before. */
    readonly excluded: ReadonlySet<UpstreamId>;
}
