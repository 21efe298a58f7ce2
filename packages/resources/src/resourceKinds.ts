import type { ResourceKind } from "./resourceKind";

/** All kinds, those that others refer to first. */
export const resourceKinds: readonly ResourceKind[] = [
    "MachineClass",
    "Service",
    "ModelVersion",
    "Adapter",
    "ClientAccount",
    "Placement",
];
