import type { QuarantineRows } from "@ibislanding/quarantine";
import { countRows } from "./countRows";

/** Returns what several hosts know of crashing prompt parts as the rows of one. */
export const mergeQuarantineRows = (rows: readonly QuarantineRows[]): QuarantineRows => ({
    suspects: countRows.distinct(3, rows.map(({ suspects }) => suspects)),
    cleared: countRows.maximum(1, rows.map(({ cleared }) => cleared)),
    quarantined: countRows.maximum(1, rows.map(({ quarantined }) => quarantined)),
});
