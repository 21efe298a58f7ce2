import { type Clock, createRateMeter } from "@ibislanding/core";
import type { DemandEstimator } from "./demandEstimator";

/**
 * Time over which rates are averaged. The rate of a single peer would be too noisy: in a large group, each peer admits
 * few requests of an account, and reports may arrive in quick succession.
 */
const RATE_AVERAGE_MS = 1_000;

/** Times over which the demand of which this host hears early is averaged, to find out how much it has grown. */
const RECENT_AVERAGE_MS = 800;
const EARLIER_AVERAGE_MS = 2_500;

/** Reports up to this age come from the own collector, or in a small group from the peer itself; others were relayed. */
const EARLY_REPORT_MS = 150;

/** Requests of which the growth of the demand must exceed the effect: a few requests by chance are no growth. */
const PRIOR_REQUESTS = 4;

/**
 * Growth up to which a change of the demand is not told apart from chance. A decrease counts at once: presuming too little
 * demand for a moment costs less than refusing what an account is owed.
 */
const INSIGNIFICANT_GROWTH = 1.4;

/** Keeps the ratio of two rates defined while there is no demand. */
const MINIMUM_PER_MS = 1e-9;

/** Weight of the latest request in the mean size of requests. */
const SIZE_WEIGHT = 0.1;

/**
 * Creates an estimator without demand.
 *
 * Handles an account whose load multiplies within a second at all hosts of a large group. Relayed reports show this one
 * to two seconds later, and until then each host would admit everything. What this host and the collector of its own zone
 * see is known earlier. If it grows by more than chance, the demand at the other zones is presumed to grow as much.
 */
export const createDemandEstimator = (clock: Clock): DemandEstimator => {
    const own = createRateMeter(RATE_AVERAGE_MS);
    const peers = createRateMeter(RATE_AVERAGE_MS);
    const admitted = createRateMeter(RATE_AVERAGE_MS);
    const recent = createRateMeter(RECENT_AVERAGE_MS);
    const earlier = createRateMeter(EARLIER_AVERAGE_MS);
    let meanUnits = 0;

    const addEarly = (units: number): void => [recent, earlier].forEach(meter => meter.add(units, clock.monotonicMs()));

    const growth = (): number => {
        const nowMs = clock.monotonicMs();
        const priorPerMs = PRIOR_REQUESTS * meanUnits / RECENT_AVERAGE_MS;
        const ratio = (recent.ratePerMs(nowMs) + priorPerMs)
            / Math.max(MINIMUM_PER_MS, earlier.ratePerMs(nowMs) + priorPerMs);
        return ratio > 1 ? Math.max(1, ratio / INSIGNIFICANT_GROWTH) : ratio;
    };

    return {
        addOwn: units => {
            meanUnits += (units - meanUnits) * (meanUnits === 0 ? 1 : SIZE_WEIGHT);
            own.add(units, clock.monotonicMs());
            addEarly(units);
        },
        addPeers: (admittedUnits, refusedUnits, ageMs) => {
            const nowMs = clock.monotonicMs();
            admitted.add(admittedUnits, nowMs);
            peers.add(admittedUnits + refusedUnits, nowMs);
            if (ageMs < EARLY_REPORT_MS) {
                addEarly(admittedUnits + refusedUnits);
            }
        },
        ownPerMs: () => own.ratePerMs(clock.monotonicMs()),
        peersPerMs: () => peers.ratePerMs(clock.monotonicMs()) * growth(),
        admittedPerMs: () => admitted.ratePerMs(clock.monotonicMs()),
    };
};
