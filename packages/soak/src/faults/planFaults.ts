import type { RandomSource } from "@ibislanding/core";
import type { FaultKind } from "./faultKind";
import type { FaultStep } from "./faultStep";

/** Faults are scheduled in series; the faults of a series overlap. */
/** Mean time between the starts of two series; the intervals are uniformly distributed. */
const MEAN_SERIES_INTERVAL_MS = 1_500;
const MAXIMUM_PER_SERIES = 3;
/** Time from the start of a series within which its faults start. */
const START_SPREAD_MS = 600;
const MINIMUM_DURATION_MS = 300;
const DURATION_SPREAD_MS = 2_500;

/** Generates the fault schedule of a run, sorted by start time; the same random source gives the same schedule. */
export const planFaults = (
    random: RandomSource,
    kinds: readonly FaultKind[],
    durationMs: number,
): readonly FaultStep[] => {
    const steps: FaultStep[] = [];
    for (
        let atMs = random.nextInt(MEAN_SERIES_INTERVAL_MS);
        atMs < durationMs;
        atMs += random.nextInt(MEAN_SERIES_INTERVAL_MS * 2)
    ) {
        Array.from({ length: 1 + random.nextInt(MAXIMUM_PER_SERIES) }).forEach(() =>
            steps.push({
                kind: kinds[random.nextInt(kinds.length)] ?? "reset-callers",
                atMs: atMs + random.nextInt(START_SPREAD_MS),
                forMs: MINIMUM_DURATION_MS + random.nextInt(DURATION_SPREAD_MS),
                target: random.nextFloat(),
            })
        );
    }
    return steps.sort((left, right) => left.atMs - right.atMs);
};
