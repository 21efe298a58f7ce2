import type { UpstreamRecord } from "@ibislanding/platform";
import type { EngineReport } from "./engineReport";

/** An upstream as the host list and, if it answers, its engine show it. */
export interface ObservedUpstream {
    readonly record: UpstreamRecord;
    readonly report?: EngineReport;
}
