import type { Resource } from "@ibislanding/resources";
import type { Condition } from "./condition";

/** A resource as the administration API shows it. */
export interface ResourceView {
    readonly kind: string;
    readonly name: string;
    readonly team: string;
    readonly spec: Resource["spec"];
    readonly generation: number;
    /** Version to send back with `If-Match`. */
    readonly version: number;
    readonly changedBy: string;
    readonly changedAtMs: number;
    readonly status: {
        /** Generation of the spec that the conditions describe; 0 before the first report. */
        readonly observedGeneration: number;
        readonly conditions: readonly Condition[];
        /** Counts by availability zone. */
        readonly zones: readonly { readonly availabilityZone: string; }[];
    };
}
