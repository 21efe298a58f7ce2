import type { VersionGate } from "./versionGate";
import type { VersionGateOptions } from "./versionGateOptions";

/** Creates a gate that knows no order, and returns `any` for all requests. */
export const createVersionGate = (_options: VersionGateOptions): VersionGate => ({
    update: () => undefined,
    ruleFor: () => ({ kind: "any" }),
    shareOf: () => undefined,
    evidenceOf: () => [],
});
