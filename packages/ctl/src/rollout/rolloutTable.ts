import { formatTime } from "../output/formatTime";
import { renderTable } from "../output/renderTable";
import type { RolloutResponse } from "./rolloutResponse";

type Rollout = RolloutResponse["rollouts"][number];
type VersionCounts = Rollout["versions"][number];

const PERCENT = 100;

const sumOf = (rows: readonly VersionCounts[]): string => {
    const sum = (select: (row: VersionCounts) => number): number => rows.reduce((total, row) => total + select(row), 0);
    return `${sum(({ sent }) => sent)}/${sum(({ failures }) => failures)}/${sum(({ slow }) => slow)}`;
};

const toRow = (
    { service, target = "-", phase = "ordered", share, deadlineMs, runningElsewhere, versions, reason = "" }: Rollout,
): readonly string[] => [
    service,
    target,
    phase,
    share === undefined ? "-" : `${(share * PERCENT).toFixed(1)} %`,
    deadlineMs === undefined ? "-" : formatTime(deadlineMs),
    sumOf(versions.filter(({ version }) => version === target)),
    sumOf(versions.filter(({ version }) => version !== target)),
    String(runningElsewhere),
    reason === "" ? "-" : reason,
];

/** Renders rollouts as a table with the evidence of all hosts: requests sent, failures and slow answers. */
export const rolloutTable = ({ rollouts }: RolloutResponse): string =>
    renderTable([
        ["SERVICE", "TARGET", "PHASE", "SHARE", "DEADLINE", "AT TARGET", "ELSEWHERE", "RUNNING ELSEWHERE", "REASON"],
        ...rollouts.map(toRow),
    ]);
