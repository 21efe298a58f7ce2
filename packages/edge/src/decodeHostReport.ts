import { parseJson } from "@ibislanding/core";
import type { HostReport } from "./hostReport";

const isArray = (value: unknown): value is readonly unknown[] => Array.isArray(value);

/** Rows of texts and numbers; what a number means is up to its reader. A number that JSON can't express is null. */
const isRows = (value: unknown): boolean =>
    isArray(value)
    && value.every(row => isArray(row) && row.every(cell => typeof cell !== "object" || cell === null));

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
    typeof value === "object" && value !== null && !isArray(value);

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

const isPosition = (value: unknown): boolean => isArray(value) && value.length >= 2 && value.every(isCount);

/** Keeps the values that are sound: another age would make an old set look current. */
const filterValues = (record: unknown, isSound: (value: unknown) => boolean): object =>
    isObject(record) ? Object.fromEntries(Object.entries(record).filter(([, value]) => isSound(value))) : {};

/** Decodes a peer's report; returns undefined if it is malformed. */
export const decodeHostReport = (text: string): HostReport | undefined => {
    const report = parseJson(text) as Partial<HostReport> | null | undefined;
    const isValid = typeof report?.hostId === "string" && typeof report.hostName === "string"
        && typeof report.sequence === "number"
        && typeof report.address === "string" && typeof report.collectorId === "string"
        && typeof report.wallMs === "number"
        && typeof report.hostCount === "number" && typeof report.oldestMs === "number"
        && isObject(report.positions) && Object.values(report.positions).every(isArray)
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
    return isValid
        ? {
            ...report as HostReport,
            positions: filterValues(report.positions, isPosition) as HostReport["positions"],
            ages: filterValues(report.ages, isCount) as HostReport["ages"],
        }
        : undefined;
};
