import { type Clock, type HostId, median } from "@ibislanding/core";
import type { ReportAggregation } from "@ibislanding/discovery";
import { countRows } from "./countRows";
import type { HostReport } from "./hostReport";

/** Counters that only grow; each increment of them is contributed once. */
type Counters = Pick<HostReport, "accounts" | "began">;

/** What a collector's summary contains of this host. */
interface Contribution extends Counters, Pick<HostReport, "loads" | "work"> {
    readonly atMs: number;
}

/** A member that has not contributed for this long, several intervals, no longer counts. */
const MEMBER_TIMEOUT_MS = 1_800;

/** Past windows whose counts a collector keeps: late contributions and late usage reports need them. */
const RETAINED_WINDOWS = 3;

/** Number of collectors whose contributions are remembered; a host changes its collector rarely. */
const REMEMBERED_COLLECTORS = 8;

const NO_COUNTERS: Counters = { accounts: [], began: [] };

const addCounters = (left: Counters, right: Counters): Counters => {
    const began = countRows.add(2, [left.began, right.began]);
    const latest = Math.max(...began.map(([window]) => window));
    return {
        accounts: countRows.add(1, [left.accounts, right.accounts]),
        began: began.filter(([window]) => window > latest - RETAINED_WINDOWS),
    };
};

const subtractCounters = (from: Counters, counters: Counters): Counters => ({
    accounts: countRows.subtract(1, from.accounts, counters.accounts),
    began: countRows.subtract(2, from.began, counters.began),
});

/**
 * Creates the sums of reports for a large group of hosts; `createReport` returns this host's own state.
 *
 * Handles hundreds of hosts, of which each must know the load and the usage of all others within a second or two. With
 * one summary for each group of hosts, neither the messages nor the state of a host grow with the number of hosts.
 */
export const createReportAggregation = (
    clock: Clock,
    createReport: () => HostReport,
): ReportAggregation<HostReport> => {
    const members = new Map<string, { readonly report: HostReport; readonly receivedAtMs: number; }>();
    const contributions = new Map<HostId, Contribution>();
    let collected = NO_COUNTERS;
    let acknowledged = NO_COUNTERS;

    const removeSilentMembers = (): void => {
        const oldestMs = clock.monotonicMs() - MEMBER_TIMEOUT_MS;
        [...members].filter(([, { receivedAtMs }]) => receivedAtMs < oldestMs).forEach(([hostName]) =>
            members.delete(hostName)
        );
    };

    return {
        nextContribution: () => {
            const report = createReport();
            return { ...report, ...subtractCounters(report, acknowledged) };
        },
        acknowledge: (contribution, collectorId) => {
            const { loads, work } = contribution;
            const known = contributions.get(collectorId) ?? NO_COUNTERS;
            acknowledged = addCounters(acknowledged, contribution);
            contributions.delete(collectorId);
            contributions.set(collectorId, {
                ...addCounters(known, contribution),
                loads,
                work,
                atMs: clock.monotonicMs(),
            });
            [...contributions.keys()].slice(0, -REMEMBERED_COLLECTORS).forEach(old => contributions.delete(old));
        },
        collect: contribution => {
            const known = members.get(contribution.hostName)?.report;
            if (known?.hostId === contribution.hostId && known.sequence >= contribution.sequence) {
                return;
            }
            members.set(contribution.hostName, { report: contribution, receivedAtMs: clock.monotonicMs() });
            collected = addCounters(collected, contribution);
        },
        summarize: () => {
            removeSilentMembers();
            const nowMs = clock.monotonicMs();
            const current = [...members.values()];
            const parts = current.map(({ report }) => report);
            const ages = current.map(({ receivedAtMs }) => nowMs - receivedAtMs);
            const own = createReport();
            return {
                ...own,
                ...collected,
                wallMs: median(current.map(({ report, receivedAtMs }) => report.wallMs + nowMs - receivedAtMs))
                    ?? own.wallMs,
                hostCount: current.length,
                oldestMs: Math.round(Math.max(0, ...ages)),
                loads: countRows.add(1, parts.map(({ loads }) => loads)),
                work: countRows.add(1, parts.map(({ work }) => work)),
                leaving: countRows.distinct(2, [own.leaving, ...parts.map(({ leaving }) => leaving)]),
                usageRecords: countRows.distinct(2, parts.map(({ usageRecords }) => usageRecords)),
            };
        },
        withoutOwn: summary => {
            const own = contributions.get(summary.hostId);
            if (own === undefined) {
                return summary;
            }
            const withoutCounters = { ...summary, ...subtractCounters(summary, own) };
            return clock.monotonicMs() - own.atMs >= MEMBER_TIMEOUT_MS ? withoutCounters : {
                ...withoutCounters,
                hostCount: summary.hostCount - 1,
                loads: countRows.subtract(1, summary.loads, own.loads),
                work: countRows.subtract(1, summary.work, own.work),
            };
        },
    };
};
