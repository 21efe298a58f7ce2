import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";
import type { VersionRule } from "@ibislanding/rollouts";
import type { PromptPart } from "../codec/promptPart";

/** Properties of a request on which its placement depends. */
export interface PlacementRequest {
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
    readonly objectiveMs: number;
    /** Time left until the request's deadline. */
    readonly remainingMs: number;
    /** Whether the request may run only on spare capacity, because its account is above its rate. */
    readonly requiresSpareCapacity: boolean;
    /** Whether its prompt avoids the engines at which streams go on that run out of time. */
    readonly avoidsReliefEngines?: boolean | undefined;
    /** Upstreams that refused the request or failed to complete it in earlier attempts. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** Whether events of the answer may have to be continued, so that the version that writes them must be known. */
    readonly requiresKnownVersion: boolean;
    /** Version of the software at which a stream goes on; undefined if any version may begin it. */
    readonly softwareVersion: SoftwareVersion | undefined;
    /** Versions at which a rollout lets the request run. */
    readonly versionRule: VersionRule;
}
