import type { Clock, Timer, UpstreamId } from "@ibislanding/core";

interface LeavingTimer {
    readonly leadMs: number;
    readonly onDue: () => void;
    timer: Timer | undefined;
}

/** Creates the timers that fire a given time before the deadline of a leaving upstream. */
export const createLeavingTimers = (clock: Clock) => {
    const deadlines = new Map<UpstreamId, number>();
    const timers = new Map<UpstreamId, Set<LeavingTimer>>();

    const arm = (upstreamId: UpstreamId, leavingTimer: LeavingTimer): void => {
        const deadlineMs = deadlines.get(upstreamId);
        if (deadlineMs !== undefined) {
            leavingTimer.timer?.cancel();
            leavingTimer.timer = clock.setTimer(
                Math.max(0, deadlineMs - leavingTimer.leadMs - clock.wallMs()),
                leavingTimer.onDue,
            );
        }
    };

    return {
        /** Records the time at which an upstream stops; the earliest reported deadline applies. */
        setDeadline: (upstreamId: UpstreamId, deadlineWallMs: number): void => {
            deadlines.set(upstreamId, Math.min(deadlineWallMs, deadlines.get(upstreamId) ?? Infinity));
            timers.get(upstreamId)?.forEach(leavingTimer => arm(upstreamId, leavingTimer));
        },
        /**
         * Calls `onDue` `leadMs` before the upstream's deadline, once it is known, and again each time that a deadline
         * is reported after that; returns the function that cancels.
         */
        watch: (upstreamId: UpstreamId, leadMs: number, onDue: () => void): () => void => {
            const leavingTimer: LeavingTimer = { leadMs, onDue, timer: undefined };
            const upstreamTimers = timers.get(upstreamId) ?? new Set();
            timers.set(upstreamId, upstreamTimers.add(leavingTimer));
            arm(upstreamId, leavingTimer);
            return () => {
                leavingTimer.timer?.cancel();
                upstreamTimers.delete(leavingTimer);
            };
        },
        /** Removes the deadline of an upstream that no longer exists. */
        removeDeadline: (upstreamId: UpstreamId): void => {
            deadlines.delete(upstreamId);
        },
        deadlines: (): ReadonlyMap<UpstreamId, number> => deadlines,
    };
};
