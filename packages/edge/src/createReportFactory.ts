import type { Clock } from "@ibislanding/core";
import type { WindowCounts } from "@ibislanding/duties";
import type { DocumentAges } from "./documentAges";
import type { EdgeSettings } from "./edgeSettings";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";
import type { ReachRow } from "./reachRow";
import { toDemandRows } from "./toDemandRows";

/** Completed windows that reports repeat: counts of a window may not be final in the first report that has them. */
const REPORTED_WINDOWS = 1;

const toRows = (windows: WindowCounts): HostReport["began"] =>
    [...windows].flatMap(([window, counts]) =>
        [...counts].map(([accountId, count]) => [window, accountId, count] as const)
    );

/** Returns a function that creates the next report of this host; `reachRows` tells which upstreams it does not reach, and
 * `ages` how long ago its sets of documents were confirmed. */
export const createReportFactory = (
    {
        documentCache,
        upstreams,
        accounts,
        usage,
        usageRecords,
        workMeter,
        clusterClock,
        quarantine,
        rollouts,
        admission,
    }: HostComponents,
    { hostId, hostName, listen }: EdgeSettings,
    clock: Clock,
    reachRows: () => readonly ReachRow[] = () => [],
    ages: DocumentAges["all"] = () => new Map(),
): () => HostReport => {
    let sequence = 0;

    const isReported = (window: number): boolean => window >= usage.windowOf(clusterClock.nowMs()) - REPORTED_WINDOWS;

    return () => {
        const brittle = upstreams.brittle.rows();
        const usages = [...accounts.usages()];
        const cutOff = reachRows();
        const knownAges = [...ages()].filter(([, ageMs]) => Number.isFinite(ageMs));
        return {
            hostId,
            hostName,
            address: listen.peers,
            collectorId: "",
            sequence: ++sequence,
            wallMs: clock.wallMs(),
            positions: documentCache.positions(),
            isInContact: documentCache.isStoreReachable(),
            ages: Object.fromEntries(knownAges.map(([set, ageMs]) => [set, Math.ceil(ageMs)])),
            hostCount: 1,
            oldestMs: 0,
            loads: [...upstreams.ownLoads()].map(([id, { running, backlogTokens }]) => [id, running, backlogTokens]),
            accounts: usages.map(([id, { entitled, spare, refused = 0 }]) =>
                refused > 0 ? [id, entitled, spare, refused] as const : [id, entitled, spare] as const
            ),
            levels: usages.flatMap(([id, { level }]) => level === undefined ? [] : [[id, Math.round(level)] as const]),
            began: toRows(new Map([...usage.local()].filter(([window]) => isReported(window)))),
            work: [...workMeter.busyUpstreams()].map(([service, busy]) => [service, Number(busy.toFixed(4))] as const),
            leaving: upstreams.leaving(),
            quarantine: quarantine.rows(),
            limits: upstreams.limits(),
            versions: rollouts?.counts() ?? [],
            brittle: brittle.length === 0 ? undefined : brittle,
            usageRecords: toRows(usageRecords.own()),
            demand: toDemandRows(admission.level.rows()),
            cutOff: cutOff.length === 0 ? undefined : cutOff,
        };
    };
};
