import type { Region, UpstreamId } from "@ibislanding/core";
import type { RoutingPolicyName } from "@ibislanding/resources";

/** A model request that needs an engine. */
export interface SelectionRequest {
    /** Service whose engines run the model. */
    readonly service: string;
    readonly model: string;
    /** Version in the configuration that the request runs under. */
    readonly modelVersion: string | undefined;
    readonly adapter: string | undefined;
    readonly policy: RoutingPolicyName;
    readonly priority: "high" | "normal" | "low";
    readonly firstTokenTargetMs: number;
    /** Region of this entry host. */
    readonly region: Region;
    readonly promptTokens: number;
    readonly blockHashes: readonly string[];
    /** Bytes of the request and, as far as known, of its answer. */
    readonly transferBytes: number;
    /** Upstreams that failed or refused this request. */
    readonly excluded: ReadonlySet<UpstreamId>;
    /** Whether the stream was accepted before and moves from another upstream; it is not refused for load. */
    readonly isResume: boolean;
}
