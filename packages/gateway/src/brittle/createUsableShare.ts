import type { Clock } from "@ibislanding/core";
import type { UsableShare } from "./usableShare";

/** Rejections within this time reduce the share once: those of one burst have one cause. */
const REDUCTION_INTERVAL_MS = 500;

/** Bounds of the part of the share that a rejection takes; the fewer rejections are allowed, the more it takes. */
const MINIMUM_REDUCTION = 0.1;
const MAXIMUM_REDUCTION = 0.4;

const MINIMUM_SHARE = 0.25;

/** Increase of the share per second without rejections. */
const RECOVERY_PER_S = 0.1;

const MS_PER_S = 1_000;

/**
 * Creates the share of slots in use, initially 1.
 *
 * Handles slots that are taken by requests of which the hosts don't know, such as those of hosts on the other side of a
 * network partition, or of hosts that have just restarted: each rejection reduces the share, until the upstream has room.
 */
export const createUsableShare = (clock: Clock): UsableShare => {
    let share = 1;
    let changedAtMs = clock.monotonicMs();
    let reducedAtMs = -Infinity;
    let rejectedAtMs = 0;

    const currentShare = (): number =>
        Math.min(1, share + (clock.monotonicMs() - changedAtMs) / MS_PER_S * RECOVERY_PER_S);

    return {
        share: currentShare,
        observeRejection: (atMs, rejectionsPerS) => {
            const nowMs = clock.monotonicMs();
            if (atMs - rejectedAtMs >= REDUCTION_INTERVAL_MS && nowMs - reducedAtMs >= REDUCTION_INTERVAL_MS) {
                const reduction = Math.min(MAXIMUM_REDUCTION, Math.max(MINIMUM_REDUCTION, 1 / (1 + rejectionsPerS)));
                share = Math.max(MINIMUM_SHARE, currentShare() * (1 - reduction));
                changedAtMs = nowMs;
                reducedAtMs = nowMs;
            }
            rejectedAtMs = Math.max(rejectedAtMs, atMs);
        },
        rejectedAtMs: () => rejectedAtMs,
    };
};
