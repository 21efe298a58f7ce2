import type { RoutingPolicyName } from "@ibislanding/resources";

/** Median and range of one measure over all seeds. */
interface Spread {
    readonly median: number;
    readonly minimum: number;
    readonly maximum: number;
}

/** Results of one policy, aggregated over all seeds. */
export interface PolicySummary {
    readonly policy: RoutingPolicyName;
    readonly runs: number;
    readonly measures: Readonly<Record<string, Spread>>;
}
