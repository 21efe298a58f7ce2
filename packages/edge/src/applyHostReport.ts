import type { AccountId, UpstreamId } from "@ibislanding/core";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";
import { toWindowCounts } from "./toWindowCounts";

/** Takes what another host reported into this host's view. */
export const applyHostReport = (
    { upstreams, accounts, usage, clusterClock }: HostComponents,
    report: HostReport,
    ageMs: number,
): void => {
    const { hostId, hostName } = report;
    clusterClock.observePeer(hostId, report.wallMs + ageMs);
    upstreams.observePeer(
        hostName,
        new Map(report.loads.map(([id, running, backlogTokens]) => [id as UpstreamId, { running, backlogTokens }])),
    );
    // JSON has no undefined: an unknown level comes as null.
    const uses = report.accounts.map(([id, entitled, spare, level]) =>
        [id as AccountId, { entitled, spare, level: level ?? undefined }] as const
    );
    accounts.observePeer(hostName, hostId, new Map(uses));
    usage.observePeer(hostId, toWindowCounts(report.began));
};
