import type { AccountId, UpstreamId } from "@ibislanding/core";
import type { StoreEpoch } from "@ibislanding/platform";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";
import { toWindowCounts } from "./toWindowCounts";

/**
 * Applies another host's report, or the summary of a collector, to the components of this host; `ageMs` is the time
 * since it was created. `onLeaving` is called for each upstream of which this host did not know that it is leaving, and
 * `onLimited` and `onBrittle` for each one whose limit or brittleness has changed.
 */
export const applyHostReport = (
    { upstreams, accounts, usage, usageRecords, clusterClock, quarantine, rollouts, admission }: HostComponents,
    storeEpoch: StoreEpoch,
    report: HostReport,
    ageMs: number,
    onLeaving: (upstreamId: UpstreamId, startedAtMs: number) => void,
    onLimited: (upstreamId: UpstreamId, startedAtMs: number, limitPerS: number | undefined) => void,
    onBrittle: (upstreamId: UpstreamId, startedAtMs: number, rejectionsPerS: number | undefined) => void,
): void => {
    const { hostId, hostName, hostCount } = report;
    clusterClock.observePeer(hostId, report.wallMs + ageMs);
    upstreams.observePeer(
        hostName,
        new Map(report.loads.map(([id, running, backlogTokens]) => [id as UpstreamId, { running, backlogTokens }])),
        hostCount,
    );
    const levels = new Map(report.levels);
    const uses = report.accounts.map(([id, entitled, spare, refused]) =>
        [id as AccountId, { entitled, spare, refused, level: levels.get(id) }] as const
    );
    accounts.observePeer(hostName, hostId, new Map(uses), hostCount, ageMs);
    usage.observePeer(hostId, toWindowCounts(report.began));
    toWindowCounts(report.usageRecords).forEach((counts, window) => usageRecords.remember(window, counts, false));
    quarantine.observe(report.quarantine);
    rollouts?.observePeer(hostId, report.versions);
    admission.observePeer(hostId, report.demand);
    report.limits.forEach(([upstreamId, startedAtMs, statedAtMs, limitPerS]) => {
        const start = { upstreamId: upstreamId as UpstreamId, startedAtMs };
        const limit = limitPerS < 0 ? undefined : limitPerS;
        if (upstreams.observeLimit(start, limit, statedAtMs)) {
            onLimited(start.upstreamId, startedAtMs, limit);
        }
    });
    report.brittle?.forEach(row => {
        if (upstreams.brittle.observeRow(row)) {
            const [upstreamId, startedAtMs, , rejectionsPerS] = row;
            onBrittle(upstreamId as UpstreamId, startedAtMs, rejectionsPerS < 0 ? undefined : rejectionsPerS);
        }
    });
    report.leaving.forEach(([id, startedAtMs]) => {
        const upstreamId = id as UpstreamId;
        if (upstreams.observeLeaving({ upstreamId, startedAtMs })) {
            onLeaving(upstreamId, startedAtMs);
        }
    });
    // The position of the configuration has no epoch of the store.
    Object.values(report.positions).filter(([epoch]) => epoch > 0).forEach(([epoch]) => storeEpoch.observe(epoch));
};
