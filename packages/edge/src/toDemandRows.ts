import type { DemandRow } from "@ibislanding/admission";
import type { HostReport } from "./hostReport";

/** Returns the rows of a report for demand; undefined if there is none. */
export const toDemandRows = (rows: readonly DemandRow[]): HostReport["demand"] =>
    rows.length === 0
        ? undefined
        : rows.map(({ service, urgency, accountId, offeredUnits, sentUnits }) =>
            [service, urgency, accountId, Math.round(offeredUnits), Math.round(sentUnits)] as const
        );
