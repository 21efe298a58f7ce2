import type { AccountId, ServiceName } from "@ibislanding/core";
import type { DemandRow } from "./demandRow";

/** Units beyond this are not the count of a process: years of the largest deployment's load. */
const MAXIMUM_UNITS = 1e15;

const MAXIMUM_URGENCY = 1_000;

const isCount = (value: unknown): value is number => typeof value === "number" && value >= 0 && value <= MAXIMUM_UNITS;

/** Reads a row of a report; undefined if it is malformed. A sum with such a row would be wrong until a restart. */
export const parseDemandRow = (row: unknown): DemandRow | undefined => {
    if (!Array.isArray(row)) {
        return undefined;
    }
    const [service, urgency, accountId, offeredUnits, sentUnits] = row as readonly unknown[];
    const isValid = typeof service === "string" && service !== "" && typeof accountId === "string"
        && Number.isInteger(urgency) && Math.abs(urgency as number) <= MAXIMUM_URGENCY
        && isCount(offeredUnits) && isCount(sentUnits);
    return isValid
        ? {
            service: service as ServiceName,
            urgency: urgency as number,
            accountId: accountId as AccountId | "",
            offeredUnits,
            sentUnits,
        }
        : undefined;
};
