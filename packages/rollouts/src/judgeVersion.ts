import type { SoftwareVersion } from "@ibislanding/core";
import type { EvidenceSeries } from "./evidenceSeries";
import { suspectVersion } from "./suspectVersion";
import type { Suspicion } from "./suspicion";
import type { Verdict } from "./verdict";

/** Likelihood ratio of a bad version: bounds the share of good versions that are rolled back by its inverse (Wald). */
const BAD_LIKELIHOOD_RATIO = 10_000;

/** Likelihood ratio over all time above which a version is suspected, and below the inverse of which it is good. */
const SUSPECT_LIKELIHOOD_RATIO = 20;

/** Likelihood ratio over a recent period above which a version is suspected; a period is one of many. */
const RECENT_SUSPECT_LIKELIHOOD_RATIO = 1_000;

const BAD_SCORE = Math.log(BAD_LIKELIHOOD_RATIO);
const SUSPECT_SCORE = Math.log(SUSPECT_LIKELIHOOD_RATIO);
const RECENT_SUSPECT_SCORE = Math.log(RECENT_SUSPECT_LIKELIHOOD_RATIO);

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
    if (strongest !== undefined && strongest.lasting >= BAD_SCORE) {
        return { kind: "bad", reason: strongest.reason, route: strongest.route };
    }
    const suspect = suspicions.find(({ recent, whole }) => whole >= SUSPECT_SCORE || recent >= RECENT_SUSPECT_SCORE);
    if (suspect !== undefined) {
        return { kind: "undecided", suspected: { reason: suspect.reason, route: suspect.route } };
    }
    // A version that has turned bad a short time ago is not good over all time only.
    const isGood = ({ recent, whole }: Suspicion): boolean =>
        Math.max(recent - SUSPECT_SCORE, whole + SUSPECT_SCORE) <= 0;
    return suspicions.length > 0 && suspicions.every(isGood)
        ? { kind: "good" }
        : { kind: "undecided", suspected: undefined };
};
