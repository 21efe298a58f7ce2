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

    const arm = (upstreamId: UpstreamId, watch: LeavingTimer): void => {
        const deadlineMs = deadlines.get(upstreamId);
        if (deadlineMs !== undefined) {
            watch.timer?.cancel();
            watch.timer = clock.setTimer(Math.max(0, deadlineMs - watch.leadMs - clock.wallMs()), watch.onDue);
        }
    };

    return {
        /** Records the time at which an upstream stops; the earliest reported deadline applies. */
        setDeadline: (upstreamId: UpstreamId, deadlineWallMs: number): void => {
            deadlines.set(upstreamId, Math.min(deadlineWallMs, deadlines.get(upstreamId) ?? Infinity));
            timers.get(upstreamId)?.forEach(watch => arm(upstreamId, watch));
        },
        /** Calls `onDue` `leadMs` before the upstream's deadline, once it is known; returns the function that cancels. */
        watch: (upstreamId: UpstreamId, leadMs: number, onDue: () => void): () => void => {
            const watch: LeavingTimer = { leadMs, onDue, timer: undefined };
            const upstreamTimers = timers.get(upstreamId) ?? new Set();
            timers.set(upstreamId, upstreamTimers.add(watch));
            arm(upstreamId, watch);
            return () => {
                watch.timer?.cancel();
                upstreamTimers.delete(watch);
            };
        },
        /** Removes the deadline of an upstream that no longer exists. */
        forget: (upstreamId: UpstreamId): void => {
            deadlines.delete(upstreamId);
        },
        deadlines: (): ReadonlyMap<UpstreamId, number> => deadlines,
    };
};
