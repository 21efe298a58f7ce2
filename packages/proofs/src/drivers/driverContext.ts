import type { RandomSource } from "@ibislanding/core";
import type { RunningSystem } from "@ibislanding/runner";
import type { HistoryWriter } from "../history/historyWriter";

/** What the drivers of a run share. */
export interface DriverContext {
    readonly system: RunningSystem;
    readonly history: HistoryWriter;
    readonly random: RandomSource;
    /** Ends the drivers' loops. */
    readonly signal: AbortSignal;
    /** Whether the faults of the run are announced. */
    readonly mustSucceed: boolean;
}
