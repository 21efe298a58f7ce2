import type { RandomSource } from "@ibislanding/core";

/** Bound on the wait of one watch: the store ends longer ones. */
const MAXIMUM_WAIT_MS = 20_000;

/**
 * Shares of the time within which a change must be in force. `interval`: mean interval between successive ends of waits of all hosts;
 * `minimum`: shortest wait, and that of a collector, whose members learn from it how old their sets are.
 */
const IN_FORCE_SHARES = { interval: 0.1, minimum: 0.32 };

/**
 * Returns how long to wait at the store for changes of a set that must be in force within a time.
 *
 * Handles hosts that share the work of confirming a set: the end of each wait confirms it for all, through reports. Equal waits would
 * begin together after each change and end together, so that no host could learn from another one.
 */
export const confirmationWaitMs = (
    { hostCount, inForceMs, isCollector }: {
        readonly hostCount: number;
        readonly inForceMs: number;
        readonly isCollector: boolean;
    },
    random: RandomSource,
): number => {
    const meanMs = isCollector ? 0 : hostCount * inForceMs * IN_FORCE_SHARES.interval;
    return Math.min(MAXIMUM_WAIT_MS, Math.max(inForceMs * IN_FORCE_SHARES.minimum, meanMs * 2 * random.nextFloat()));
};
