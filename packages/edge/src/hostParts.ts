import type { ClusterClock } from "@ibislanding/discovery";
import type { UsageCounts } from "@ibislanding/duties";
import type { AccountMeter, UpstreamTable } from "@ibislanding/gateway";
import type { Knowledge } from "./knowledge";
import type { WorkMeter } from "./workMeter";

/** The parts of a host whose state is told to the others. */
export interface HostParts {
    readonly knowledge: Knowledge;
    readonly upstreams: UpstreamTable;
    readonly accounts: AccountMeter;
    readonly usage: UsageCounts;
    readonly work: WorkMeter;
    readonly time: ClusterClock;
}
