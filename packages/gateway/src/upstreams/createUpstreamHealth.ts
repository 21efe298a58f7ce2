import { type Clock, median } from "@ibislanding/core";
import { movingAverage } from "./movingAverage";
import type { UpstreamHealth } from "./upstreamHealth";
import type { UpstreamState } from "./upstreamState";

/** First time without requests after failures; doubles with each further one. */
const EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 4_000;

/** Half-life of failures and successes in an upstream's score. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** An upstream is ejected when this part of its recent answers failed beyond its peers' part. */
const EJECTION_RATE_MARGIN = 0.25;
const MINIMUM_FAILURES = 2;

/** Half-life of what is believed of work that this host does not see. */
const LATENESS_HALF_LIFE_MS = 1_000;

/** Weight of the newest first byte in the smoothed excess. */
const LATENESS_WEIGHT = 0.4;

const failureRate = ({ failures, successes }: UpstreamState): number => failures / Math.max(1, failures + successes);

/**
 * Creates the score of upstreams.
 *
 * Answers upstreams that fail or hang while their registration is good: one that fails more than its peers rests for a
 * while, and one whose first bytes are late or overdue counts as loaded. The latter also covers work of hosts that are
 * out of reach.
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
        latenessMs * 0.5 ** ((clock.monotonicMs() - latenessUpdatedAtMs) / LATENESS_HALF_LIFE_MS);

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
        isEjected: ({ ejectedUntilMs }) => clock.monotonicMs() < ejectedUntilMs,
        unexplainedDelayMs: state =>
            [...state.pendingFirstBytes].reduce(
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
