import { type Clock, type HostId, median } from "@ibislanding/core";
import type { ReportAggregation } from "@ibislanding/discovery";
import { countRows } from "./countRows";
import type { HostReport } from "./hostReport";
import { mergeBrittleRows } from "./mergeBrittleRows";
import { mergeCutOff } from "./mergeCutOff";
import { mergeQuarantineRows } from "./mergeQuarantineRows";
import { parseDemandRows } from "./parseDemandRows";
import { toDemandRows } from "./toDemandRows";

/** Counters that only grow; each increment of them is contributed once. */
type Counters = Pick<HostReport, "accounts" | "began" | "versions"> & {
    readonly demand: NonNullable<HostReport["demand"]>;
};

/** What is assigned to the collector at an address. */
interface Assignment extends Pick<HostReport, "loads" | "work"> {
    /** Empty until the collector has answered. */
    readonly collectorId: HostId | "";
    readonly counters: Counters;
    /** The part of the counters that the last contribution added. */
    readonly latest: Counters;
    readonly acknowledged: Counters;
    readonly acknowledgedAtMs: number;
}

interface Member {
    readonly report: HostReport;
    readonly receivedAtMs: number;
    /** Counters that are contained in the summary. */
    readonly counters: Counters;
}

/** A member that has not contributed for this long, several intervals, no longer counts. */
const MEMBER_TIMEOUT_MS = 1_800;

/** Past windows whose counts a collector keeps: late contributions and late usage reports need them. */
const RETAINED_WINDOWS = 3;

/** Number of collectors whose assignments are remembered; a host changes its collector rarely. */
const REMEMBERED_COLLECTORS = 8;

/** Time after which a silent member is forgotten; its counters stay in the summary. */
const MEMBER_RETENTION_MS = 600_000;

/** Service, version and route. */
const VERSION_KEY_LENGTH = 3;

/** Service, urgency and account. */
const DEMAND_KEY_LENGTH = 3;

const NO_COUNTERS: Counters = { accounts: [], began: [], versions: [], demand: [] };

/** Counters of a report. Demand that can't be read is left out: it would make the sum wrong until a restart. */
const countersOf = ({ accounts, began, versions, demand }: Pick<HostReport, keyof Counters>): Counters => ({
    accounts,
    began,
    versions,
    demand: toDemandRows(parseDemandRows(demand)) ?? [],
});

const UNASSIGNED: Assignment = {
    collectorId: "",
    counters: NO_COUNTERS,
    latest: NO_COUNTERS,
    acknowledged: NO_COUNTERS,
    acknowledgedAtMs: -Infinity,
    loads: [],
    work: [],
};

const addCounters = (left: Counters, right: Counters): Counters => {
    const began = countRows.add(2, [left.began, right.began]);
    const latest = Math.max(...began.map(([window]) => window));
    return {
        accounts: countRows.add(1, [left.accounts, right.accounts]),
        began: began.filter(([window]) => window > latest - RETAINED_WINDOWS),
        versions: countRows.add(VERSION_KEY_LENGTH, [left.versions, right.versions]),
        demand: countRows.add(DEMAND_KEY_LENGTH, [left.demand, right.demand]),
    };
};

const newestLimitsFirst = (limits: HostReport["limits"]): HostReport["limits"] =>
    [...limits].sort(([, , left], [, , right]) => right - left);

const subtractCounters = (from: Counters, counters: Counters): Counters => ({
    accounts: countRows.subtract(1, from.accounts, counters.accounts),
    began: countRows.subtract(2, from.began, counters.began),
    versions: countRows.subtract(VERSION_KEY_LENGTH, from.versions, counters.versions),
    demand: countRows.subtract(DEMAND_KEY_LENGTH, from.demand, counters.demand),
});

/**
 * Creates the sums of reports for a large group of hosts; `ownId` is the id of this process, and `createReport` returns its
 * own state.
 *
 * Handles hundreds of hosts, of which each must know the load and the usage of all others within a second or two. With
 * one summary for each group of hosts, neither the messages nor the state of a host grow with the number of hosts.
 */
export const createReportAggregation = (
    clock: Clock,
    ownId: HostId,
    createReport: () => HostReport,
): ReportAggregation<HostReport> => {
    const members = new Map<HostId, Member>();
    const assignments = new Map<string, Assignment>();
    let collected = NO_COUNTERS;
    let assigned = NO_COUNTERS;

    const currentMembers = (): readonly Member[] => {
        const nowMs = clock.monotonicMs();
        [...members].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs >= MEMBER_RETENTION_MS).forEach(([hostId]) =>
            members.delete(hostId)
        );
        return [...members.values()].filter(({ receivedAtMs }) => nowMs - receivedAtMs < MEMBER_TIMEOUT_MS);
    };

    const setAssignment = (address: string, assignment: Assignment): void => {
        assignments.delete(address);
        assignments.set(address, assignment);
        [...assignments.keys()].slice(0, -REMEMBERED_COLLECTORS).forEach(old => assignments.delete(old));
    };

    return {
        nextContribution: address => {
            const report = createReport();
            const known = assignments.get(address) ?? UNASSIGNED;
            const latest = subtractCounters(countersOf(report), assigned);
            const counters = addCounters(known.counters, latest);
            assigned = addCounters(assigned, latest);
            setAssignment(address, { ...known, counters, latest, loads: report.loads, work: report.work });
            const demand = report.demand === undefined ? undefined : counters.demand;
            return { ...report, ...counters, demand, collectorId: known.collectorId };
        },
        acknowledge: (address, collectorId) => {
            const known = assignments.get(address) ?? UNASSIGNED;
            const acknowledgedAtMs = clock.monotonicMs();
            if (known.collectorId === "" || known.collectorId === collectorId) {
                setAssignment(address, { ...known, collectorId, acknowledged: known.counters, acknowledgedAtMs });
                return;
            }
            // Another process answers at the address. What its predecessor did not acknowledge is assigned anew.
            assigned = subtractCounters(assigned, subtractCounters(known.counters, known.acknowledged));
            const { loads, work } = known;
            setAssignment(address, { ...UNASSIGNED, collectorId, acknowledgedAtMs, loads, work });
        },
        withdraw: address => {
            const known = assignments.get(address);
            if (known !== undefined) {
                assigned = subtractCounters(assigned, known.latest);
                const counters = subtractCounters(known.counters, known.latest);
                setAssignment(address, { ...known, counters, latest: NO_COUNTERS });
            }
        },
        collect: contribution => {
            const { hostId, hostName, collectorId } = contribution;
            const known = members.get(hostId);
            const isOurs = collectorId === "" || collectorId === ownId;
            // Counters assigned to this process by a member that it has forgotten are in the summary already.
            const isForgotten = known === undefined && collectorId !== "";
            const previous = known?.counters ?? NO_COUNTERS;
            const read = countersOf(contribution);
            // The demand of a service that was saturated before is counted on when it is saturated again.
            const counters = contribution.demand === undefined ? { ...read, demand: previous.demand } : read;
            if (isOurs && !isForgotten) {
                collected = addCounters(collected, subtractCounters(counters, previous));
            }
            if (known !== undefined && known.report.sequence >= contribution.sequence) {
                return;
            }
            // A new process on the same host replaces the old one at once.
            [...members.values()]
                .filter(({ report }) => report.hostName === hostName && report.hostId !== hostId)
                .forEach(({ report }) => members.delete(report.hostId));
            members.set(hostId, {
                report: contribution,
                receivedAtMs: clock.monotonicMs(),
                counters: isOurs ? counters : NO_COUNTERS,
            });
        },
        summarize: () => {
            const nowMs = clock.monotonicMs();
            const current = currentMembers();
            const parts = current.map(({ report }) => report);
            const ages = current.map(({ receivedAtMs }) => nowMs - receivedAtMs);
            const own = createReport();
            const brittle = mergeBrittleRows([own, ...parts].flatMap(report => report.brittle ?? []));
            const isSaturated = [own, ...parts].some(({ demand }) => demand !== undefined);
            return {
                ...own,
                ...collected,
                demand: isSaturated ? collected.demand : undefined,
                wallMs: median(current.map(({ report, receivedAtMs }) => report.wallMs + nowMs - receivedAtMs))
                    ?? own.wallMs,
                hostCount: current.length,
                oldestMs: Math.round(Math.max(0, ...ages)),
                loads: countRows.add(1, parts.map(({ loads }) => loads)),
                work: countRows.add(1, parts.map(({ work }) => work)),
                leaving: countRows.distinct(2, [own.leaving, ...parts.map(({ leaving }) => leaving)]),
                usageRecords: countRows.distinct(2, parts.map(({ usageRecords }) => usageRecords)),
                limits: countRows.distinct(2, [newestLimitsFirst([own, ...parts].flatMap(({ limits }) => limits))]),
                brittle: brittle.length === 0 ? undefined : brittle,
                cutOff: mergeCutOff([own, ...parts]),
                quarantine: mergeQuarantineRows([own, ...parts].map(({ quarantine }) => quarantine)),
            };
        },
        withoutOwn: summary => {
            const own = [...assignments.values()].find(({ collectorId }) => collectorId === summary.hostId);
            if (own === undefined) {
                return summary;
            }
            const others = subtractCounters(countersOf(summary), own.acknowledged);
            const demand = summary.demand === undefined ? undefined : others.demand;
            const withoutCounters = { ...summary, ...others, demand };
            return clock.monotonicMs() - own.acknowledgedAtMs >= MEMBER_TIMEOUT_MS ? withoutCounters : {
                ...withoutCounters,
                hostCount: summary.hostCount - 1,
                loads: countRows.subtract(1, summary.loads, own.loads),
                work: countRows.subtract(1, summary.work, own.work),
            };
        },
    };
};
