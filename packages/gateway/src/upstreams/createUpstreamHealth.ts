import { type Clock, median } from "@ibislanding/core";
import { movingAverage } from "./movingAverage";
import type { UpstreamHealth } from "./upstreamHealth";
import type { UpstreamState } from "./upstreamState";

/** Duration of the first ejection; doubles with each consecutive one. */
const EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 4_000;

/** Half-life of the failure and success counts. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** An upstream is ejected when its recent failure rate exceeds the median of its siblings by this much. */
const EJECTION_RATE_MARGIN = 0.25;
const MINIMUM_FAILURES = 2;

/** Half-life of the estimated delay caused by work unknown to this host. */
const LATENESS_HALF_LIFE_MS = 1_000;

/** Weight of the newest sample in the moving average of the lateness of first bytes. */
const LATENESS_WEIGHT = 0.4;

const failureRate = ({ failures, successes }: UpstreamState): number => failures / Math.max(1, failures + successes);

/**
 * Creates the health tracking of upstreams.
 *
 * Handles upstreams that fail or hang while their registration is valid. One that is unreachable or fails more often
 * than its siblings is ejected for a while. If first bytes of an upstream are late or overdue, the lateness is added to
 * the predictions for it, which also covers work sent by hosts that this host cannot reach.
 */
export const createUpstreamHealth = (clock: Clock): UpstreamHealth => {
    const decay = (state: UpstreamState): void => {
        const factor = 0.5 ** ((clock.monotonicMs() - state.decayedAtMs) / FAILURE_HALF_LIFE_MS);
        state.failures *= factor;
        state.successes *= factor;
        state.decayedAtMs = clock.monotonicMs();
    };

    const eject = (state: UpstreamState): void => {
        const durationMs = Math.min(MAXIMUM_EJECTION_MS, EJECTION_MS * 2 ** state.ejections);
        state.ejectedUntilMs = clock.monotonicMs() + durationMs;
        state.ejections++;
    };

    const decayedLatenessMs = ({ latenessMs, latenessUpdatedAtMs }: UpstreamState): number =>
        latenessMs === 0
            ? 0
            : latenessMs * 0.5 ** ((clock.monotonicMs() - latenessUpdatedAtMs) / LATENESS_HALF_LIFE_MS);

    return {
        recordSuccess: (state, responseMs) => {
            decay(state);
            state.successes++;
            state.ejections = 0;
            state.responseMs = responseMs === undefined
                ? state.responseMs
                : movingAverage(state.responseMs, responseMs);
        },
        recordFailure: (state, siblings, kind) => {
            decay(state);
            state.failures++;
            const typicalRate = median(siblings.map(failureRate)) ?? 0;
            const isOutlier = state.failures >= MINIMUM_FAILURES
                && failureRate(state) > typicalRate + EJECTION_RATE_MARGIN;
            if (kind === "unreachable" || isOutlier) {
                eject(state);
            }
        },
        reset: state =>
            void Object.assign(state, {
                failures: 0,
                ejections: 0,
                ejectedUntilMs: -Infinity,
                latenessMs: 0,
                latenessUpdatedAtMs: clock.monotonicMs(),
            }),
        isEjected: ({ ejectedUntilMs }) => clock.monotonicMs() < ejectedUntilMs,
        unexplainedDelayMs: state =>
            state.pendingFirstBytes.size === 0 ? decayedLatenessMs(state) : [...state.pendingFirstBytes].reduce(
                (most, { predictedAtMs }) => Math.max(most, clock.monotonicMs() - predictedAtMs),
                decayedLatenessMs(state),
            ),
        recordLateness: (state, latenessMs) => {
            const decayedMs = decayedLatenessMs(state);
            state.latenessMs = decayedMs + (Math.max(0, latenessMs) - decayedMs) * LATENESS_WEIGHT;
            state.latenessUpdatedAtMs = clock.monotonicMs();
        },
    };
};
