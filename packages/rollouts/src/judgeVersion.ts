import type { SoftwareVersion } from "@ibislanding/core";
import type { EvidenceSeries } from "./evidenceSeries";
import { suspectVersion } from "./suspectVersion";
import type { Verdict } from "./verdict";

/** Likelihood ratio of a bad version: bounds the share of good versions that are rolled back by its inverse (Wald). */
const BAD_LIKELIHOOD_RATIO = 10_000;

/** Likelihood ratio over all time above which a version is suspected, and below the inverse of which it is good. */
const SUSPECT_LIKELIHOOD_RATIO = 20;

/**
 * Compares a version with the other versions of its service over the period of a series.
 *
 * Handles few and many requests a second, on one route or on all, and a version that turns bad some seconds after its
 * start: the test is Page's cumulative sum with a logarithmic likelihood ratio, which takes the worst period that ends now.
 * The whole period is judged by the bounds of Wald's test, at any time, as a service with few requests yields no more.
 */
export const judgeVersion = (target: SoftwareVersion, series: EvidenceSeries): Verdict => {
    const suspicions = suspectVersion(target, series);
    const strongest = suspicions[0];
    if (strongest !== undefined && strongest.recent >= Math.log(BAD_LIKELIHOOD_RATIO)) {
        return { kind: "bad", reason: strongest.reason, route: strongest.route };
    }
    const suspect = suspicions.find(({ whole }) => whole >= Math.log(SUSPECT_LIKELIHOOD_RATIO));
    if (suspect !== undefined) {
        return { kind: "undecided", suspected: { reason: suspect.reason, route: suspect.route } };
    }
    return suspicions.length > 0 && suspicions.every(({ whole }) => whole <= -Math.log(SUSPECT_LIKELIHOOD_RATIO))
        ? { kind: "good" }
        : { kind: "undecided", suspected: undefined };
};
