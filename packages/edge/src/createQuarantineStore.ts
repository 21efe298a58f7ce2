import type { Quarantine, QuarantineRows } from "@ibislanding/quarantine";
import { createStoredRows } from "./createStoredRows";
import type { StoredRows } from "./storedRows";
import type { StoredRowsOptions } from "./storedRowsOptions";

type Row = QuarantineRows["quarantined"][number];

const ROW_LENGTH = 7;

const isRow = (row: unknown): row is Row =>
    Array.isArray(row) && row.length === ROW_LENGTH && typeof row[0] === "string"
    && row.slice(1).every(value => typeof value === "number" && Number.isFinite(value));

/** What a row states apart from the last refusal, which changes with each request. */
const stateOf = ([featureId, sinceMs, endedAtMs, , , , isConfirmed]: Row): string =>
    `${featureId} ${sinceMs} ${endedAtMs} ${isConfirmed}`;

/**
 * Starts to keep the list of what is quarantined in the store.
 *
 * Handles the restart of all hosts at once while crashing requests come: without the list, three more upstreams would crash
 * under each of them.
 */
export const createQuarantineStore = (
    options: Omit<StoredRowsOptions<Row>, "name" | "rows" | "observe" | "isRow" | "stateOf">,
    quarantine: Pick<Quarantine, "rows" | "observe">,
): StoredRows =>
    createStoredRows({
        ...options,
        name: "quarantine",
        rows: () => quarantine.rows().quarantined,
        observe: quarantined => quarantine.observe({ suspects: [], cleared: [], quarantined }),
        isRow,
        stateOf,
    });
