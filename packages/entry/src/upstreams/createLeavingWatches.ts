import type { Clock, Timer, UpstreamId } from "@ibislanding/core";

interface Watch {
    readonly leadMs: number;
    readonly onDue: () => void;
    timer: Timer | undefined;
}

/** Creates the watches over leaving upstreams. */
export const createLeavingWatches = (clock: Clock) => {
    const deadlines = new Map<UpstreamId, number>();
    const watches = new Map<UpstreamId, Set<Watch>>();

    const arm = (upstreamId: UpstreamId, watch: Watch): void => {
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
            watches.get(upstreamId)?.forEach(watch => arm(upstreamId, watch));
        },
        /** Starts a watch; returns its end. */
        watch: (upstreamId: UpstreamId, leadMs: number, onDue: () => void): () => void => {
            const watch: Watch = { leadMs, onDue, timer: undefined };
            const group = watches.get(upstreamId) ?? new Set();
            watches.set(upstreamId, group.add(watch));
            arm(upstreamId, watch);
            return () => {
                watch.timer?.cancel();
                group.delete(watch);
            };
        },
        /** Forgets an upstream that is gone. */
        forget: (upstreamId: UpstreamId): void => {
            deadlines.delete(upstreamId);
        },
        deadlines: (): ReadonlyMap<UpstreamId, number> => deadlines,
    };
};
