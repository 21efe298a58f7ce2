import type { Revision } from "@ibislanding/core";
import type { DesiredAdapter, DesiredModel } from "@ibislanding/placement";
import type { MachineClassSpec, PlacementSpec, ResourceOf, ServiceSpec } from "@ibislanding/resources";

/** What the configuration declares about one service with a placement. */
export interface DesiredService {
    readonly name: string;
    readonly revision: Revision;
    readonly spec: ServiceSpec;
    readonly serviceGeneration: number;
    readonly placementName: string;
    readonly placementGeneration: number;
    readonly placement: PlacementSpec;
    readonly machineClasses: ReadonlyMap<string, MachineClassSpec>;
    readonly models: readonly DesiredModel[];
    /** The active model versions as declared. */
    readonly modelResources: readonly ResourceOf<"ModelVersion">[];
    readonly adapters: readonly DesiredAdapter[];
}
