import { UsageReport as WireUsageReport } from "@ibislanding/protocol";
import type { UsageReport } from "../model/usageReport";
import { toWireUsage } from "./toWireUsage";

const sizes = new WeakMap<UsageReport, number>();

/** Returns the encoded size of a usage report, cached per report object. */
export const usageSizeBytes = (report: UsageReport): number => {
    const known = sizes.get(report);
    if (known !== undefined) {
        return known;
    }
    const sizeBytes = WireUsageReport.encode(toWireUsage(report)).finish().length;
    sizes.set(report, sizeBytes);
    return sizeBytes;
};
