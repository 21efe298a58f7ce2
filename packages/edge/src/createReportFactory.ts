import type { Clock } from "@ibislanding/core";
import type { EdgeSettings } from "./edgeSettings";
import type { HostComponents } from "./hostComponents";
import type { HostReport } from "./hostReport";

/** Ended windows that reports repeat: the newest one is not final when it is first told. */
const REPORTED_WINDOWS = 1;

/** Creates the function that describes this host in its next report. */
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
        accounts: [...accounts.uses()].map(([id, { entitled, spare, level }]) =>
            [id, entitled, spare, level === undefined ? undefined : Math.round(level)] as const
        ),
        began: startedRequestCounts(),
        work: [...workMeter.busyUpstreams()],
    });
};
