import type { z } from "zod";
import type { ResourceKind } from "./resourceKind";
import type { ResourceSpecs } from "./resourceSpecs";
import { adapterSpecSchema } from "./specs/adapterSpecSchema";
import { clientAccountSpecSchema } from "./specs/clientAccountSpecSchema";
import { machineClassSpecSchema } from "./specs/machineClassSpecSchema";
import { modelVersionSpecSchema } from "./specs/modelVersionSpecSchema";
import { placementSpecSchema } from "./specs/placementSpecSchema";
import { serviceSpecSchema } from "./specs/serviceSpecSchema";

/** Zod schema of the spec of each resource kind; parsing fills in defaults. */
export const specSchemas: { readonly [K in ResourceKind]: z.ZodType<ResourceSpecs[K]>; } = {
    Service: serviceSpecSchema,
    ModelVersion: modelVersionSpecSchema,
    Adapter: adapterSpecSchema,
    ClientAccount: clientAccountSpecSchema,
    Placement: placementSpecSchema,
    MachineClass: machineClassSpecSchema,
};
