import type { Clock, Timer, UpstreamId } from "@ibislanding/core";

interface LeavingTimer {
    readonly leadMs: number;
    readonly onDue: () => void;
    timer: Timer | undefined;
}

/** Creates the watches over leaving upstreams. */
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
        /** Notes when an upstream stops. */
        setDeadline: (upstreamId: UpstreamId, deadlineWallMs: number): void => {
            deadlines.set(upstreamId, Math.min(deadlineWallMs, deadlines.get(upstreamId) ?? Infinity));
            timers.get(upstreamId)?.forEach(watch => arm(upstreamId, watch));
        },
        /** Starts a watch; returns its end. */
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
        /** Forgets an upstream that is gone. */
        forget: (upstreamId: UpstreamId): void => {
            deadlines.delete(upstreamId);
        },
        deadlines: (): ReadonlyMap<UpstreamId, number> => deadlines,
    };
};
