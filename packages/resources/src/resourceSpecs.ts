import type { AdapterSpec } from "./specs/adapterSpec";
import type { ClientAccountSpec } from "./specs/clientAccountSpec";
import type { MachineClassSpec } from "./specs/machineClassSpec";
import type { ModelVersionSpec } from "./specs/modelVersionSpec";
import type { PlacementSpec } from "./specs/placementSpec";
import type { ServiceSpec } from "./specs/serviceSpec";

/** Spec type of each resource kind. */
export interface ResourceSpecs {
    readonly Service: ServiceSpec;
    readonly ModelVersion: ModelVersionSpec;
    readonly Adapter: AdapterSpec;
    readonly ClientAccount: ClientAccountSpec;
    readonly Placement: PlacementSpec;
    readonly MachineClass: MachineClassSpec;
}
