import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { ForwardContext } from "./forwardContext";

/** Shortest silence after which a stream goes on elsewhere; engines that are silent for about a second go on by themselves. */
const MINIMUM_SILENCE_MS = 2_000;

/** Silence as a multiple of the target and of the longest gap so far, which both belong to a running engine. */
const SILENCE_FACTOR = 5;

/** Interval of the next checks if the stream is silent and may not go on elsewhere yet. */
const RECHECK_MS = 250;

/** Hosts above which streams are watched. */
const MAXIMUM_SMALL_GROUP = 16;

/** Watch of a stream's silence. */
interface SilenceWatch {
    readonly recordProgress: () => void;
    /** Stops watching; returns the silence for which the stream was given up, if it was. */
    readonly end: () => number | undefined;
}

const UNWATCHED: SilenceWatch = { recordProgress: () => undefined, end: () => undefined };

/**
 * Watches a stream of a route with a target for gaps, and calls `giveUp` when its engine has fallen silent while other
 * upstreams send events. `isPaused` tells whether its body is not read because the client is slow. `mayContinue` tells whether
 * the stream can go on at another engine, and charges the retry budget if so.
 */
export const watchSilence = (
    { options, admitted, ended, progress }: ForwardContext,
    upstream: UpstreamRecord,
    isPaused: () => boolean,
    mayContinue: () => boolean,
    giveUp: () => void,
): SilenceWatch => {
    const { clock, streamActivity, upstreams, events } = options;
    const { gapTargetMs, isResumable } = admitted.route;
    if (upstreams.hostCount() <= MAXIMUM_SMALL_GROUP) {
        return UNWATCHED;
    }
    const activity = streamActivity.track(upstream);
    if (gapTargetMs === undefined || !isResumable) {
        return {
            recordProgress: activity.recordProgress,
            end: () => {
                activity.end(false);
                return undefined;
            },
        };
    }
    let silentMs: number | undefined;
    const thresholdMs = (): number =>
        Math.max(MINIMUM_SILENCE_MS, SILENCE_FACTOR * gapTargetMs, SILENCE_FACTOR * activity.longestGapMs());

    const check = (): void => {
        const remainingMs = thresholdMs() - activity.silentMs();
        if (remainingMs > 0) {
            timer = clock.setTimer(remainingMs, check);
            return;
        }
        const isGivenUp = !ended.aborted && !isPaused() && !upstreams.isDeparting(upstream)
            && activity.isUpstreamSilent() && mayContinue();
        if (!isGivenUp) {
            timer = clock.setTimer(RECHECK_MS, check);
            return;
        }
        silentMs = activity.silentMs();
        events.onStreamSilent?.({
            requestId: admitted.head.requestId,
            upstreamId: upstream.upstreamId,
            attempt: progress.attempts,
            silentMs,
            longestGapMs: activity.longestGapMs(),
        });
        giveUp();
    };
    let timer = clock.setTimer(thresholdMs(), check);

    return {
        recordProgress: activity.recordProgress,
        end: () => {
            timer.cancel();
            activity.end(silentMs !== undefined);
            return silentMs;
        },
    };
};
