import type { ResourceKind } from "./resourceKind";

/** All resource kinds; a kind comes after the kinds it refers to. */
export const resourceKinds: readonly ResourceKind[] = [
    "MachineClass",
    "Service",
    "ModelVersion",
    "Adapter",
    "ClientAccount",
    "Placement",
];
