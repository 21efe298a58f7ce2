import { type Clock, type HostId, median } from "@ibislanding/core";
import type { ClusterClock } from "./clusterClock";

interface Observation {
    /** The peer's wall clock minus this host's monotonic clock. */
    readonly offsetMs: number;
    readonly observedAtMs: number;
}

/** Observations older than this are ignored; the time spans several rounds of reports. */
const OBSERVATION_LIFETIME_MS = 3_000;

/**
 * Creates a clock that follows the median of this host's and its peers' wall clocks. Between observations it advances
 * with the monotonic clock.
 */
export const createClusterClock = (clock: Clock): ClusterClock => {
    const observations = new Map<HostId, Observation>();
    const startOffsetMs = clock.wallMs() - clock.monotonicMs();

    const currentOffsets = (): readonly number[] => {
        const oldestMs = clock.monotonicMs() - OBSERVATION_LIFETIME_MS;
        return [...observations.values()].filter(({ observedAtMs }) => observedAtMs >= oldestMs).map(({ offsetMs }) =>
            offsetMs
        );
    };

    return {
        nowMs: () => {
            const nowMs = clock.monotonicMs();
            const peers = currentOffsets();
            // Without peers only the monotonic clock is used: a jump of the wall clock looks the same as a correction.
            const own = peers.length === 0 ? startOffsetMs : clock.wallMs() - nowMs;
            return nowMs + (median([own, ...peers]) ?? own);
        },
        observePeer: (hostId, wallMs) => {
            const observedAtMs = clock.monotonicMs();
            observations.set(hostId, { offsetMs: wallMs - observedAtMs, observedAtMs });
        },
    };
};
