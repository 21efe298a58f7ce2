import { type Clock, createRateMeter } from "@ibislanding/core";
import type { DemandEstimator } from "./demandEstimator";

/**
 * Time over which rates are averaged. The rate of a single peer would be too noisy: in a large group, each peer admits
 * few requests of an account, and reports may arrive in quick succession.
 */
const RATE_AVERAGE_MS = 1_000;

/** Time over which the share of this host in the demand is averaged: some seconds, so that it is known before a burst. */
const SHARE_AVERAGE_MS = 5_000;

/** Time over which the demand of which this host hears early is averaged, to find out how much it has grown. */
const RECENT_AVERAGE_MS = 700;

/** Standard deviations by which the demand must have grown for the growth to count. */
const SIGNIFICANT_DEVIATIONS = 2.5;

/**
 * Growth for each multiple of the earlier demand by which the recent one is significantly higher, and its maximum. A zone's
 * own waves of demand look like a growth of all; a higher one shows in the relayed reports soon after.
 */
const GROWTH_GAIN = 2;
const MAXIMUM_GROWTH = 6;

/** Time after which the earlier demand is known. */
const KNOWN_MS = 4_000;

/** Keeps the ratio of two rates defined while there is no demand. */
const MINIMUM_PER_MS = 1e-9;

/** Weight of the latest report in the mean age of reports. */
const AGE_WEIGHT = 0.1;

/**
 * Creates an estimator without demand.
 *
 * Handles an account whose load multiplies within a second at all hosts of a large group. Relayed reports show this one
 * to two seconds later, and until then each host would admit everything. What this host and the collector of its own zone
 * see is known earlier. It is compared with itself at the time of which the relayed reports tell: if it grew by more than
 * chance since then, the demand at the other zones is presumed to have grown as much.
 */
export const createDemandEstimator = (clock: Clock): DemandEstimator => {
    const own = createRateMeter(RATE_AVERAGE_MS);
    const peers = createRateMeter(RATE_AVERAGE_MS);
    const longOwn = createRateMeter(SHARE_AVERAGE_MS);
    const longPeers = createRateMeter(SHARE_AVERAGE_MS);
    const recent = createRateMeter(RECENT_AVERAGE_MS);
    /** The same demand as of the time of which the relayed reports tell. */
    const earlier = createRateMeter(RATE_AVERAGE_MS);
    const delayed: { readonly dueAtMs: number; readonly units: number; }[] = [];
    const createdAtMs = clock.monotonicMs();
    let meanAgeMs = 0;
    let dispersion = 0;

    const addDue = (nowMs: number): void => {
        const due = delayed.findIndex(({ dueAtMs }) => dueAtMs > nowMs);
        delayed.splice(0, due < 0 ? delayed.length : due).forEach(({ dueAtMs, units }) => earlier.add(units, dueAtMs));
    };

    const addEarly = (units: number, nowMs: number): void => {
        addDue(nowMs);
        recent.add(units, nowMs);
        const dueAtMs = Math.max(nowMs + meanAgeMs, delayed.at(-1)?.dueAtMs ?? 0);
        delayed.push({ dueAtMs, units });
    };

    const deviationPerMs = (perMs: number, averageMs: number): number =>
        Math.sqrt(perMs * dispersion / (2 * averageMs));

    /**
     * A decrease counts at once: presuming too little demand for a moment costs less than refusing what an account is owed.
     */
    const growth = (): number => {
        const nowMs = clock.monotonicMs();
        addDue(nowMs);
        const recentPerMs = recent.ratePerMs(nowMs);
        const earlierPerMs = Math.max(MINIMUM_PER_MS, earlier.ratePerMs(nowMs));
        if (recentPerMs <= earlierPerMs) {
            return recentPerMs / earlierPerMs;
        }
        const recentDeviation = deviationPerMs(recentPerMs, RECENT_AVERAGE_MS);
        // One request more, as the rate of a time without requests has no deviation.
        const earlierDeviation = deviationPerMs(earlierPerMs + dispersion / RATE_AVERAGE_MS, RATE_AVERAGE_MS);
        const significantPerMs = recentPerMs - earlierPerMs
            - SIGNIFICANT_DEVIATIONS * Math.hypot(recentDeviation, earlierDeviation);
        const basePerMs = earlierPerMs + dispersion / RATE_AVERAGE_MS;
        return nowMs - createdAtMs < KNOWN_MS ? 1 : Math.max(
            1,
            Math.min(MAXIMUM_GROWTH, recentPerMs / basePerMs, 1 + GROWTH_GAIN * significantPerMs / basePerMs),
        );
    };

    return {
        addOwn: (units, dispersionUnits) => {
            const nowMs = clock.monotonicMs();
            dispersion = dispersionUnits;
            own.add(units, nowMs);
            longOwn.add(units, nowMs);
            addEarly(units, nowMs);
        },
        addPeers: (units, ageMs, isEarly) => {
            const nowMs = clock.monotonicMs();
            peers.add(units, nowMs);
            longPeers.add(units, nowMs);
            if (isEarly) {
                addEarly(units, nowMs);
            }
            else {
                meanAgeMs += (ageMs - meanAgeMs) * (meanAgeMs === 0 ? 1 : AGE_WEIGHT);
            }
        },
        ownShare: () => {
            const nowMs = clock.monotonicMs();
            const ownPerMs = longOwn.ratePerMs(nowMs);
            return ownPerMs / Math.max(MINIMUM_PER_MS, ownPerMs + longPeers.ratePerMs(nowMs));
        },
        ownPerMs: () => own.ratePerMs(clock.monotonicMs()),
        peersPerMs: () => peers.ratePerMs(clock.monotonicMs()) * Math.min(1, growth()),
        growth: () => Math.max(1, growth()),
        deviationPerMs: demandPerMs => deviationPerMs(demandPerMs, RATE_AVERAGE_MS),
    };
};
