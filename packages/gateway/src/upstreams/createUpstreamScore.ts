import { type Clock, median } from "@ibislanding/core";
import { smooth } from "./smooth";
import type { UpstreamScore } from "./upstreamScore";
import type { UpstreamState } from "./upstreamState";

/** First time without requests after failures; doubles with each further one. */
const EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 4_000;

/** Half-life of failures and successes in an upstream's score. */
const SCORE_HALF_LIFE_MS = 2_000;

/** An upstream is ejected when this part of its recent answers failed beyond its peers' part. */
const EJECTION_EXCESS = 0.25;
const LEAST_FAILURES = 2;

/** Half-life of what is believed of work that this host does not see. */
const EXCESS_HALF_LIFE_MS = 1_000;

/** Weight of the newest first byte in the smoothed excess. */
const EXCESS_WEIGHT = 0.4;

const failureShare = ({ failures, successes }: UpstreamState): number => failures / Math.max(1, failures + successes);

/**
 * Creates the score of upstreams.
 *
 * Answers upstreams that fail or hang while their registration is good: one that fails more than its peers rests for a
 * while, and one whose first bytes are late or overdue counts as loaded. The latter also covers work of hosts that are
 * out of reach.
 */
export const createUpstreamScore = (clock: Clock): UpstreamScore => {
    const decay = (state: UpstreamState): void => {
        const factor = 0.5 ** ((clock.monotonicMs() - state.scoredAtMs) / SCORE_HALF_LIFE_MS);
        state.failures *= factor;
        state.successes *= factor;
        state.scoredAtMs = clock.monotonicMs();
    };

    const eject = (state: UpstreamState): void => {
        const durationMs = Math.min(MAXIMUM_EJECTION_MS, EJECTION_MS * 2 ** state.ejections);
        state.ejectedUntilMs = clock.monotonicMs() + durationMs;
        state.ejections++;
    };

    const decayedExcessMs = ({ excessMs, excessAtMs }: UpstreamState): number =>
        excessMs * 0.5 ** ((clock.monotonicMs() - excessAtMs) / EXCESS_HALF_LIFE_MS);

    return {
        recordSuccess: (state, answerMs) => {
            decay(state);
            state.successes++;
            state.ejections = 0;
            state.answerMs = answerMs === undefined ? state.answerMs : smooth(state.answerMs, answerMs);
        },
        recordFailure: (state, siblings, kind) => {
            decay(state);
            state.failures++;
            const typicalShare = median(siblings.map(failureShare)) ?? 0;
            const isOutlier = state.failures >= LEAST_FAILURES && failureShare(state) > typicalShare + EJECTION_EXCESS;
            if (kind === "unreachable" || isOutlier) {
                eject(state);
            }
        },
        isEjected: ({ ejectedUntilMs }) => clock.monotonicMs() < ejectedUntilMs,
        hiddenMs: state =>
            [...state.dueAtMs].reduce(
                (most, { atMs }) => Math.max(most, clock.monotonicMs() - atMs),
                decayedExcessMs(state),
            ),
        recordExcess: (state, excessMs) => {
            const decayedMs = decayedExcessMs(state);
            state.excessMs = decayedMs + (Math.max(0, excessMs) - decayedMs) * EXCESS_WEIGHT;
            state.excessAtMs = clock.monotonicMs();
        },
    };
};
