import type { RoutingPolicyName } from "@ibislanding/resources";

/** Median and range of one measure over the seeds. */
interface Spread {
    readonly median: number;
    readonly minimum: number;
    readonly maximum: number;
}

/** Measures of one policy over all seeds. */
export interface PolicySummary {
    readonly policy: RoutingPolicyName;
    readonly runs: number;
    readonly measures: Readonly<Record<string, Spread>>;
}
