import type { Region, UpstreamId } from "@ibislanding/core";
import type { RoutingPolicyName } from "@ibislanding/resources";

/** Properties of a model request by which its engine is selected. */
export interface SelectionRequest {
    /** Service whose engines run the model. */
    readonly service: string;
    readonly model: string;
    /** Model version in the configuration that applies to the request. */
    readonly modelVersion: string | undefined;
    readonly adapter: string | undefined;
    readonly policy: RoutingPolicyName;
    readonly priority: "high" | "normal" | "low";
    readonly firstTokenTargetMs: number;
    /** Region of this entry host. */
    readonly region: Region;
    readonly promptTokens: number;
    readonly blockHashes: readonly string[];
    /** Size of the request and, as far as known, of its response. */
    readonly transferBytes: number;
    /** Upstreams that failed or refused this request. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** Whether an accepted stream moves from another upstream; resumed streams are never refused for load. */
    readonly isResume: boolean;
}
