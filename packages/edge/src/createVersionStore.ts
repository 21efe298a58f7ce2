import type { UpstreamTable, VersionRow } from "@ibislanding/gateway";
import { createStoredRows } from "./createStoredRows";
import type { StoredRows } from "./storedRows";
import type { StoredRowsOptions } from "./storedRowsOptions";

const ROW_LENGTH = 3;

const isRow = (row: unknown): row is VersionRow =>
    Array.isArray(row) && row.length === ROW_LENGTH && typeof row[0] === "string" && typeof row[1] === "string"
    && typeof row[2] === "number" && Number.isFinite(row[2]);

const stateOf = ([service, softwareVersion, goneAtMs]: VersionRow): string =>
    `${service} ${softwareVersion} ${goneAtMs > 0 ? "gone" : "registered"}`;

/**
 * Starts to keep the versions of each service in the store.
 *
 * Handles the restart of all hosts at once just after the last upstreams of a version have left: without the list, hosts would
 * take the version that is left for the only one that there had been, and continue streams of the other one there.
 */
export const createVersionStore = (
    options: Omit<StoredRowsOptions<VersionRow>, "name" | "rows" | "observe" | "isRow" | "stateOf">,
    { versionRows, observeVersions }: Pick<UpstreamTable, "versionRows" | "observeVersions">,
): StoredRows =>
    createStoredRows({ ...options, name: "versions", rows: versionRows, observe: observeVersions, isRow, stateOf });
