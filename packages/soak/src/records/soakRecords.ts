import type { CallerAttempt } from "./callerAttempt";
import type { ConfigurationChange } from "./configurationChange";
import type { CrashCause } from "./crashCause";
import type { Disturbance } from "./disturbance";
import type { HostRun } from "./hostRun";
import type { UpstreamRun } from "./upstreamRun";
import type { UsageReport } from "./usageReport";

/** All observations of a soak run; written to `records.json`. */
export interface SoakRecords {
    readonly attempts: CallerAttempt[];
    readonly runs: UpstreamRun[];
    readonly changes: ConfigurationChange[];
    /** Upstreams whose draining state the store acknowledged, with the time. */
    readonly leaving: { readonly upstreamId: string; readonly acceptedAtMs: number; }[];
    /** Crashes of upstreams under requests. */
    readonly crashes: { readonly cause: CrashCause; readonly upstreamId: string; readonly atMs: number; }[];
    /** Limits that upstreams stated, in requests a second of all hosts. */
    readonly limits: {
        readonly upstreamId: string;
        readonly limitPerS: number;
        readonly fromMs: number;
        untilMs: number;
    }[];
    /** Times in which upstreams were brittle, and how many. */
    readonly brittlePeriods: { readonly fromMs: number; readonly upstreamCount: number; untilMs: number; }[];
    /** Crashes of brittle upstreams under rejections. */
    readonly rejectionCrashes: { readonly upstreamId: string; readonly atMs: number; }[];
    /** Times in which some hosts reached no upstream, none of a service, or few; other hosts reached all. */
    readonly cuts: { readonly hostNames: ReadonlySet<string>; readonly fromMs: number; untilMs: number; }[];
    readonly usage: UsageReport[];
    readonly disturbances: Disturbance[];
    readonly hostRuns: HostRun[];
    /** Monotonic time at which the last fault ended. */
    calmSinceMs: number;
}
