import type { Clock } from "@ibislanding/core";
import type { StreamActivity } from "./streamActivity";

interface Stream {
    readonly key: string;
    lastAtMs: number;
    isGivenUp: boolean;
}

/** Time without events after which another stream of the upstream is silent too, as engines pause for a part of a second. */
const SILENT_MS = 1_000;

/** Time for which streams that were given up are remembered; the others of the upstream are given up within a few seconds. */
const RETENTION_MS = 10_000;

/** Creates the activity of a host without streams. */
export const createStreamActivity = (clock: Clock): StreamActivity => {
    const streams = new Set<Stream>();
    let hasGivenUp = false;

    const forgetGivenUp = (isForgotten: (stream: Stream) => boolean): void =>
        [...streams].filter(stream => stream.isGivenUp && isForgotten(stream)).forEach(stream =>
            streams.delete(stream)
        );

    return {
        track: ({ upstreamId, startedAtMs }) => {
            const startedTrackingAtMs = clock.monotonicMs();
            forgetGivenUp(({ lastAtMs }) => startedTrackingAtMs - lastAtMs > RETENTION_MS);
            const stream: Stream = {
                key: `${upstreamId}/${startedAtMs}`,
                lastAtMs: startedTrackingAtMs,
                isGivenUp: false,
            };
            let longestGapMs = 0;
            streams.add(stream);
            return {
                recordProgress: () => {
                    const nowMs = clock.monotonicMs();
                    longestGapMs = Math.max(longestGapMs, nowMs - stream.lastAtMs);
                    stream.lastAtMs = nowMs;
                    if (hasGivenUp) {
                        forgetGivenUp(({ key }) => key === stream.key);
                        hasGivenUp = [...streams].some(other => other.isGivenUp);
                    }
                },
                silentMs: () => clock.monotonicMs() - stream.lastAtMs,
                longestGapMs: () => longestGapMs,
                isUpstreamSilent: () => {
                    const nowMs = clock.monotonicMs();
                    const isSilent = ({ lastAtMs }: Stream): boolean => nowMs - lastAtMs >= SILENT_MS;
                    const siblings = [...streams].filter(other => other !== stream && other.key === stream.key);
                    // If no upstream sends anything, the host itself or its network may be the cause.
                    return siblings.length > 0 && siblings.every(isSilent)
                        && [...streams].some(other => other.key !== stream.key && !isSilent(other));
                },
                end: isGivenUp => {
                    if (!isGivenUp) {
                        streams.delete(stream);
                    }
                    stream.isGivenUp = isGivenUp;
                    hasGivenUp ||= isGivenUp;
                },
            };
        },
    };
};
