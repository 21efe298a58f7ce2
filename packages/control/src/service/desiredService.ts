import type { Revision } from "@ibislanding/core";
import type { DesiredAdapter, DesiredModel } from "@ibislanding/placement";
import type { MachineClassSpec, PlacementSpec, ResourceOf, ServiceSpec } from "@ibislanding/resources";

/** Desired state of one service with a placement, as the configuration declares it. */
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
    /** Active model versions of the service, with their resource metadata. */
    readonly modelResources: readonly ResourceOf<"ModelVersion">[];
    readonly adapters: readonly DesiredAdapter[];
}
