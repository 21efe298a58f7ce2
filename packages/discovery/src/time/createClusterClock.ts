import { type Clock, type HostId, median } from "@ibislanding/core";
import type { ClusterClock } from "./clusterClock";

interface Observation {
    /** Peer's wall clock less the own monotonic clock. */
    readonly offsetMs: number;
    readonly observedAtMs: number;
}

/** Observations older than this are ignored; several rounds of reports. */
const OBSERVATION_LIFETIME_MS = 3_000;

/** Creates an estimate from the median of the own and the peers' wall clocks, carried on by the monotonic clock. */
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
            // A lone host keeps to the monotonic clock: a jump of its wall clock can't be told from a correction.
            const own = peers.length === 0 ? startOffsetMs : clock.wallMs() - nowMs;
            return nowMs + (median([own, ...peers]) ?? own);
        },
        observePeer: (hostId, wallMs) => {
            const observedAtMs = clock.monotonicMs();
            observations.set(hostId, { offsetMs: wallMs - observedAtMs, observedAtMs });
        },
    };
};
