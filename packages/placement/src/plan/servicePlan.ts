import type { Revision } from "@ibislanding/core";
import type { DesiredAdapter } from "./desiredAdapter";
import type { DesiredModel } from "./desiredModel";
import type { PlannedReplica } from "./plannedReplica";

/** Desired state of one service, kept in the key-value service and changed only by compare-and-swap. */
export interface ServicePlan {
    readonly service: string;
    /** Increases with every change; every order carries it. */
    readonly generation: number;
    /** Revision of the configuration that the plan follows; never decreases. */
    readonly revision: Revision;
    readonly lastIncarnation: number;
    readonly replicas: readonly PlannedReplica[];
    readonly models: readonly DesiredModel[];
    readonly adapters: readonly DesiredAdapter[];
}
