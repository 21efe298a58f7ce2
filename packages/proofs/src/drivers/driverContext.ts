import type { RandomSource } from "@ibislanding/core";
import type { RunningSystem } from "@ibislanding/runner";
import type { HistoryWriter } from "../history/historyWriter";

/** Context of a load driver: the system under test, the history, and the driver's own random source. */
export interface DriverContext {
    readonly system: RunningSystem;
    readonly history: HistoryWriter;
    readonly random: RandomSource;
    /** Aborted when the load ends. */
    readonly signal: AbortSignal;
    /** Whether all faults of the run are announced, so that no request may be lost. */
    readonly mustSucceed: boolean;
}
