import type { UpstreamRecord } from "@ibislanding/platform";
import type { EngineReport } from "./engineReport";

/** An upstream with its entry in the host list and, if its engine responds, the engine's report. */
export interface ObservedUpstream {
    readonly record: UpstreamRecord;
    readonly report?: EngineReport;
}
