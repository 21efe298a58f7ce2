import type { AccountId, UpstreamId } from "@ibislanding/core";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";
import { toWindowCounts } from "./toWindowCounts";

/** Applies another host's report to the components of this host; `ageMs` is the time since the report was created. */
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
    // JSON has no undefined: an unknown level is decoded as null.
    const uses = report.accounts.map(([id, entitled, spare, level]) =>
        [id as AccountId, { entitled, spare, level: level ?? undefined }] as const
    );
    accounts.observePeer(hostName, hostId, new Map(uses));
    usage.observePeer(hostId, toWindowCounts(report.began));
};
