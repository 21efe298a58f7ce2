import type { Revision } from "@ibislanding/core";
import type { DesiredAdapter } from "./desiredAdapter";
import type { DesiredModel } from "./desiredModel";
import type { PlannedReplica } from "./plannedReplica";

/** Desired state of one service, stored in the key-value service and modified only by compare-and-swap. */
export interface ServicePlan {
    readonly service: string;
    /** Incremented by every change; sent with every order to an engine. */
    readonly generation: number;
    /** Revision of the configuration on which the plan is based; never decreases. */
    readonly revision: Revision;
    readonly lastIncarnation: number;
    readonly replicas: readonly PlannedReplica[];
    readonly models: readonly DesiredModel[];
    readonly adapters: readonly DesiredAdapter[];
}
