import type { Clock, HostId } from "@ibislanding/core";
import type { ClusterClock } from "./clusterClock";

interface Observation {
    /** The peer's wall clock minus this host's monotonic clock. */
    readonly offsetMs: number;
    readonly observedAtMs: number;
}

/** Observations older than this are ignored; the time spans several rounds of reports. */
const OBSERVATION_LIFETIME_MS = 3_000;

/** Returns the lower median of a number and others that are in ascending order, without sorting them again. */
const medianWith = (own: number, others: readonly number[]): number => {
    const middle = Math.floor(others.length / 2);
    return Math.max(others[middle - 1] ?? -Infinity, Math.min(own, others[middle] ?? Infinity));
};

/**
 * Creates a clock that follows the median of this host's and its peers' wall clocks. Between observations it advances
 * with the monotonic clock.
 */
export const createClusterClock = (clock: Clock): ClusterClock => {
    const observations = new Map<HostId, Observation>();
    const startOffsetMs = clock.wallMs() - clock.monotonicMs();

    /** Offsets of the peers in ascending order, until an observation is added or the oldest of them expires. */
    let offsets: readonly number[] = [];
    let offsetsExpireAtMs = -Infinity;

    const currentOffsets = (nowMs: number): readonly number[] => {
        if (nowMs > offsetsExpireAtMs) {
            const oldestMs = nowMs - OBSERVATION_LIFETIME_MS;
            const current = [...observations.values()].filter(({ observedAtMs }) => observedAtMs >= oldestMs);
            offsets = current.map(({ offsetMs }) => offsetMs).sort((left, right) => left - right);
            offsetsExpireAtMs = Math.min(...current.map(({ observedAtMs }) => observedAtMs)) + OBSERVATION_LIFETIME_MS;
        }
        return offsets;
    };

    return {
        nowMs: () => {
            const nowMs = clock.monotonicMs();
            const peers = currentOffsets(nowMs);
            // Without peers only the monotonic clock is used: a jump of the wall clock looks the same as a correction.
            const own = peers.length === 0 ? startOffsetMs : clock.wallMs() - nowMs;
            return nowMs + medianWith(own, peers);
        },
        observePeer: (hostId, wallMs) => {
            const observedAtMs = clock.monotonicMs();
            observations.set(hostId, { offsetMs: wallMs - observedAtMs, observedAtMs });
            offsetsExpireAtMs = -Infinity;
        },
    };
};
