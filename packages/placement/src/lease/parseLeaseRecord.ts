import type { LeaseRecord } from "./leaseRecord";

/**
 * Parses the value of a lease key; returns undefined unless it is a JSON object with a fencing number and a holder.
 * Other fields may be missing.
 */
export const parseLeaseRecord = (text: string): LeaseRecord | undefined => {
    try {
        const value = JSON.parse(text) as Partial<LeaseRecord>;
        return typeof value.fencingNumber === "number" && typeof value.holder === "string"
            ? {
                fencingNumber: value.fencingNumber,
                holder: value.holder,
                writeId: value.writeId ?? "",
                durationMs: value.durationMs ?? 0,
                released: value.released === true,
                settlingMs: value.settlingMs ?? 0,
                storeEpoch: value.storeEpoch ?? 0,
            }
            : undefined;
    }
    catch {
        return undefined;
    }
};
