import { parseJson } from "@ibislanding/core";
import type { StoredReport } from "./storedReport";

/** Parses stored counts of a window; returns undefined if they are malformed. */
export const parseStoredReport = (text: string): StoredReport | undefined => {
    const report = parseJson(text) as Partial<StoredReport> | null | undefined;
    const { window, counts } = report ?? {};
    return Number.isSafeInteger(window) && typeof counts === "object" && counts !== null && !Array.isArray(counts)
            && Object.values(counts).every(Number.isSafeInteger)
        ? report as StoredReport
        : undefined;
};
