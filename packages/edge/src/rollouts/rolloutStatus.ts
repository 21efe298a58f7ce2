import type { SoftwareVersion } from "@ibislanding/core";

/** What operators are told of a rollout. */
export interface RolloutStatus {
    readonly outcome: "running" | "completed" | "rolled-back";
    readonly target: SoftwareVersion;
}
