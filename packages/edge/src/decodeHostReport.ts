import { parseJson } from "@ibislanding/core";
import type { HostReport } from "./hostReport";

const isArray = (value: unknown): value is readonly unknown[] => Array.isArray(value);

/** Rows of texts and numbers; what a number means is up to its reader. A number that JSON can't express is null. */
const isRows = (value: unknown): boolean =>
    isArray(value)
    && value.every(row => isArray(row) && row.every(cell => typeof cell !== "object" || cell === null));

/** Decodes a peer's report; returns undefined if it is malformed. */
export const decodeHostReport = (text: string): HostReport | undefined => {
    const report = parseJson(text) as Partial<HostReport> | null | undefined;
    const isValid = typeof report?.hostId === "string" && typeof report.hostName === "string"
        && typeof report.sequence === "number"
        && typeof report.address === "string" && typeof report.collectorId === "string"
        && typeof report.wallMs === "number"
        && typeof report.hostCount === "number" && typeof report.oldestMs === "number"
        && typeof report.positions === "object" && report.positions !== null
        && Object.values(report.positions).every(isArray)
        && [
            report.loads,
            report.accounts,
            report.levels,
            report.began,
            report.work,
            report.leaving,
            report.usageRecords,
            report.limits,
            report.versions,
            report.brittle ?? [],
            report.cutOff ?? [],
            report.demand ?? [],
            report.quarantine?.suspects,
            report.quarantine?.cleared,
            report.quarantine?.quarantined,
        ].every(isRows);
    return isValid ? report as HostReport : undefined;
};
