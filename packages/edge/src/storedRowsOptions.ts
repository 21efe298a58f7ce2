import type { KeyValueCause } from "@ibislanding/platform";
import type { EdgeOptions } from "./edgeOptions";

/** Dependencies and row type of a stored list. */
export interface StoredRowsOptions<Row> extends Pick<EdgeOptions, "clock" | "random" | "log" | "store" | "storeEpoch"> {
    readonly key: string;
    /** Beginning of the names of log events, and purpose of the calls. */
    readonly name: Extract<KeyValueCause, "quarantine" | "versions">;
    /** Rows that this host knows. */
    readonly rows: () => readonly Row[];
    /** Merges rows that were read into what this host knows. */
    readonly observe: (rows: readonly Row[]) => void;
    readonly isRow: (row: unknown) => row is Row;
    /** The part of a row whose change is written. */
    readonly stateOf: (row: Row) => string;
    /** Whether this host writes for its group. */
    readonly isRepresentative: () => boolean;
}
