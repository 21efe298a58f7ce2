import type { CallerAttempt } from "./callerAttempt";
import type { ConfigurationChange } from "./configurationChange";
import type { Disturbance } from "./disturbance";
import type { UpstreamRun } from "./upstreamRun";
import type { UsageReport } from "./usageReport";

/** Everything that was seen of a run of the soak. */
export interface SoakRecords {
    readonly attempts: CallerAttempt[];
    readonly runs: UpstreamRun[];
    readonly changes: ConfigurationChange[];
    /** Upstreams whose leaving the store acknowledged, with the time. */
    readonly leaving: { readonly upstreamId: string; readonly acceptedAtMs: number; }[];
    readonly usage: UsageReport[];
    readonly disturbances: Disturbance[];
    /** Monotonic time at which the last fault had ended. */
    calmSinceMs: number;
}
