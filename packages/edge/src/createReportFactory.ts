import type { Clock } from "@ibislanding/core";
import type { EdgeSettings } from "./edgeSettings";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";

/** Completed windows that reports repeat: counts of a window may not be final in the first report that has them. */
const REPORTED_WINDOWS = 1;

/** Returns a function that creates the next report of this host. */
export const createReportFactory = (
    { documentCache, upstreams, accounts, usage, workMeter, clusterClock }: HostComponents,
    { hostId, hostName }: EdgeSettings,
    clock: Clock,
): () => HostReport => {
    let sequence = 0;

    const startedRequestCounts = (): HostReport["began"] =>
        [...usage.local()]
            .filter(([window]) => window >= usage.windowOf(clusterClock.nowMs()) - REPORTED_WINDOWS)
            .flatMap(([window, counts]) =>
                [...counts].map(([accountId, count]) => [window, accountId, count] as const)
            );

    return () => ({
        hostId,
        hostName,
        sequence: ++sequence,
        wallMs: clock.wallMs(),
        revisions: documentCache.revisions(),
        isInContact: documentCache.isStoreReachable(),
        loads: [...upstreams.ownLoads()].map(([id, { running, backlogTokens }]) => [id, running, backlogTokens]),
        accounts: [...accounts.usages()].map(([id, { entitled, spare, level }]) =>
            [id, entitled, spare, level === undefined ? undefined : Math.round(level)] as const
        ),
        began: startedRequestCounts(),
        work: [...workMeter.busyUpstreams()],
    });
};
