/** Shortest wait for the next byte of a send at a cut-off host; answers over long links take a few hundred ms. */
const MINIMUM_PATIENCE_MS = 300;

/** Largest part of the remaining time that a send may wait for; the rest is for its relay. */
const MAXIMUM_REMAINING_SHARE = 0.4;

/**
 * Returns the time without a byte after which a cut-off host abandons a send on an old connection: its objective, as answers
 * that come later are late anyway, but a part of the remaining time at most.
 */
export const sendPatienceMs = (objectiveMs: number, remainingMs: number): number =>
    Math.max(MINIMUM_PATIENCE_MS, Math.min(objectiveMs, remainingMs * MAXIMUM_REMAINING_SHARE));
