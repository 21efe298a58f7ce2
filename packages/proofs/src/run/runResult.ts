import type { Violation } from "../checks/violation";
import type { RunTotals } from "../report/runTotals";

/** Result of a run: totals, violations, and the path of the history file. */
export interface RunResult {
    readonly totals: RunTotals;
    readonly violations: readonly Violation[];
    readonly historyFile: string;
    /** Names of the processes that did not exit with code 0 at the end of the run. */
    readonly uncleanStops: readonly string[];
}
