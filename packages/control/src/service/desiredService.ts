import type { Revision } from "@ibislanding/core";
import type { DesiredAdapter, DesiredModel } from "@ibislanding/placement";
import type { MachineClassSpec, PlacementSpec, ServiceSpec } from "@ibislanding/resources";

/** What the configuration declares about one service with a placement. */
export interface DesiredService {
    readonly name: string;
    readonly revision: Revision;
    readonly spec: ServiceSpec;
    readonly placementName: string;
    readonly placementGeneration: number;
    readonly placement: PlacementSpec;
    readonly machineClasses: ReadonlyMap<string, MachineClassSpec>;
    readonly models: readonly DesiredModel[];
    readonly adapters: readonly DesiredAdapter[];
}
