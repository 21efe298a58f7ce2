import type { SoakRecords } from "../records/soakRecords";
import type { UsageReport } from "../records/usageReport";
import { groupBy } from "./groupBy";
import type { Violation } from "./violation";

/** Returns a violation for each group of reports that do not all have the same value. */
const findConflicts = (
    check: string,
    usage: readonly UsageReport[],
    groupOf: (report: UsageReport) => string,
    valueOf: (report: UsageReport) => string,
): readonly Violation[] =>
    [...groupBy(usage, groupOf)].flatMap(([subject, reports]) => {
        const values = new Set(reports.map(valueOf));
        return values.size > 1 ? [{ check, subject, detail: [...values].join(" ") }] : [];
    });

/** Checks that all reports of a window have the same counts and that each fencing number has a single holder. */
export const checkUsage = ({ usage }: SoakRecords): readonly Violation[] => [
    ...findConflicts("one-count", usage, ({ window }) => `window ${window}`, ({ counts }) => counts),
    ...findConflicts("one-holder", usage, ({ fencingNumber }) => `number ${fencingNumber}`, ({ holder }) => holder),
];
