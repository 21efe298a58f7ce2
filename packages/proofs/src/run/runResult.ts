import type { Violation } from "../checks/violation";
import type { RunTotals } from "../report/runTotals";

/** Outcome of a run. */
export interface RunResult {
    readonly totals: RunTotals;
    readonly violations: readonly Violation[];
    readonly historyFile: string;
    /** Processes that did not stop cleanly at the end. */
    readonly uncleanStops: readonly string[];
}
