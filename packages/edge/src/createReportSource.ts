import type { Clock } from "@ibislanding/core";
import type { EdgeSettings } from "./edgeSettings";
import type { HostParts } from "./hostParts";
import type { HostReport } from "./hostReport";

/** Ended windows that reports repeat: the newest one is not final when it is first told. */
const REPORTED_WINDOWS = 1;

/** Creates the function that describes this host in its next report. */
export const createReportSource = (
    { knowledge, upstreams, accounts, usage, work, time }: HostParts,
    { hostId, hostName }: EdgeSettings,
    clock: Clock,
): () => HostReport => {
    let sequence = 0;

    const beganCounts = (): HostReport["began"] =>
        [...usage.own()]
            .filter(([window]) => window >= usage.windowOf(time.nowMs()) - REPORTED_WINDOWS)
            .flatMap(([window, counts]) =>
                [...counts].map(([accountId, count]) => [window, accountId, count] as const)
            );

    return () => ({
        hostId,
        hostName,
        sequence: ++sequence,
        wallMs: clock.wallMs(),
        revisions: knowledge.revisions(),
        isInContact: knowledge.isInContact(),
        loads: [...upstreams.ownLoads()].map(([id, { running, backlogTokens }]) => [id, running, backlogTokens]),
        accounts: [...accounts.usages()].map(([id, { entitled, spare, level }]) =>
            [id, entitled, spare, level === undefined ? undefined : Math.round(level)] as const
        ),
        began: beganCounts(),
        work: [...work.busyUpstreams()],
    });
};
