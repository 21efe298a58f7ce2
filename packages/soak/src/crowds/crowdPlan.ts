import type { CrowdKind } from "./crowdKind";
import type { CrowdTarget } from "./crowdTarget";

/** Connections to a port of this machine that all send the same. */
export interface CrowdPlan {
    readonly port: number;
    readonly kind: CrowdKind;
    readonly connections: number;
    readonly target: CrowdTarget;
}
