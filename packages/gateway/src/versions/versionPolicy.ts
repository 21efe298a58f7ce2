import type { VersionGate } from "@ibislanding/rollouts";
import type { VersionRun } from "./versionRun";
import type { VersionRunStart } from "./versionRunStart";

/** Decides at which software versions requests may run, and counts what becomes of them. */
export interface VersionPolicy {
    /** Returns where the next attempt at a request may be placed; called once for each attempt, whose send it charges. */
    readonly ruleFor: VersionGate["ruleFor"];
    /** Counts a send to an upstream. */
    readonly trackRun: (start: VersionRunStart) => VersionRun;
}
