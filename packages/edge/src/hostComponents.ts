import type { ClusterClock } from "@ibislanding/discovery";
import type { UsageCounts, UsageRecords } from "@ibislanding/duties";
import type { AccountMeter, UpstreamTable } from "@ibislanding/gateway";
import type { Quarantine } from "@ibislanding/quarantine";
import type { Admission } from "./admission/admission";
import type { DocumentCache } from "./documentCache";
import type { Rollouts } from "./rollouts/rollouts";
import type { WorkMeter } from "./workMeter";

/** Components of a host whose state is exchanged with other hosts through reports. */
export interface HostComponents {
    readonly documentCache: DocumentCache;
    readonly upstreams: UpstreamTable;
    readonly accounts: AccountMeter;
    readonly usage: UsageCounts;
    readonly usageRecords: UsageRecords;
    readonly workMeter: WorkMeter;
    readonly clusterClock: ClusterClock;
    readonly quarantine: Quarantine;
    readonly admission: Admission;
    /** Undefined if versions are not rolled out. */
    readonly rollouts: Rollouts | undefined;
}
