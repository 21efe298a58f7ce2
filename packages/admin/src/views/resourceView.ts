import type { Resource } from "@ibislanding/resources";
import type { Condition } from "./condition";

/** A resource with its status, as returned by the administration API. */
export interface ResourceView {
    readonly kind: string;
    readonly name: string;
    readonly team: string;
    readonly spec: Resource["spec"];
    readonly generation: number;
    /** Version to send back in `If-Match`. */
    readonly version: number;
    readonly changedBy: string;
    readonly changedAtMs: number;
    readonly status: {
        /** Generation of the spec that the conditions describe; 0 before the first report. */
        readonly observedGeneration: number;
        readonly conditions: readonly Condition[];
        /** Replica counts by availability zone. */
        readonly zones: readonly { readonly availabilityZone: string; }[];
    };
}
