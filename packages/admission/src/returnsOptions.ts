import type { Clock, RandomSource } from "@ibislanding/core";
import type { LevelState } from "./levelState";

/** Dependencies of the return of refused requests. */
export interface ReturnsOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly random: Pick<RandomSource, "nextFloat">;
    readonly level: Pick<LevelState, "freeUnitsPerS">;
    /** Number of hosts among which the free capacity is divided. */
    readonly hostCount: () => number;
}
