import { inflateRawSync } from "node:zlib";
import type { ReportEnvelope } from "./reportEnvelope";

/** Limit on the inflated size of a message; larger than any valid one. */
const MAXIMUM_BYTES = 4_194_304;

const isReportEnvelope = (value: unknown): value is ReportEnvelope => {
    const report = value as Partial<ReportEnvelope> | null;
    return typeof report?.text === "string" && typeof report.ageMs === "number" && report.ageMs >= 0;
};

/** Decodes the reports of a message; returns undefined if it is malformed. */
export const decodeReports = (bytes: Uint8Array): readonly ReportEnvelope[] | undefined => {
    try {
        const reports: unknown = JSON.parse(inflateRawSync(bytes, { maxOutputLength: MAXIMUM_BYTES }).toString());
        return Array.isArray(reports) && reports.every(isReportEnvelope) ? reports : undefined;
    }
    catch {
        return undefined;
    }
};
