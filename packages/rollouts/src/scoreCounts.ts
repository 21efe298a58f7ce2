import type { VersionCounts } from "./versionCounts";

/** Parameters of the comparison of a target with the other versions. */
interface Comparison {
    /** Cluster times of the snapshots. */
    readonly timesMs: readonly number[];
    readonly target: VersionCounts;
    readonly others: VersionCounts;
    /** Bad share of the other versions that is assumed before their answers are counted. */
    readonly priorShare: number;
}

/** Answers that the prior share counts for: an interval with fewer answers of the other versions leans on it. */
const PRIOR_WEIGHT = 10;

/** Least bad share that is assumed of a good version, so that a single bad answer is no strong evidence. */
const MINIMUM_BAD_SHARE = 0.02;

/** Bad share above which versions can't be told apart. */
const MAXIMUM_BAD_SHARE = 0.98;

/** Longest usual time from a send to a bad answer, such as a time-out. */
const ANSWER_DELAY_MS = 3_000;

/**
 * Bad answers of this time are ignored in the period in which they are worst: the crash of an upstream breaks all its
 * answers at once, and reports of it arrive over more than a second. A bad version fails for longer.
 */
const BURST_MS = 1_500;

const shareOf = (bad: number, sent: number, priorShare: number): number =>
    Math.min(
        MAXIMUM_BAD_SHARE,
        Math.max(MINIMUM_BAD_SHARE, (bad + PRIOR_WEIGHT * priorShare) / (sent + PRIOR_WEIGHT)),
    );

const at = (values: readonly number[], index: number): number => values[Math.max(0, index)] ?? 0;

const between = (values: readonly number[], from: number, to: number): number => at(values, to) - at(values, from);

/**
 * Scores a target against the other versions: `recent` is the largest logarithmic likelihood ratio over all periods that
 * end now, without the worst burst, and `whole` is that of all time. Compares the hypothesis that half of the sound
 * answers turn bad with the hypothesis that the bad share is that of the other versions in each interval.
 *
 * Handles a share that changes while all upstreams have trouble: the expected bad share is taken from the same interval.
 * The number of requests is that of any earlier period of the same length, if larger, since late bad answers belong to it.
 */
export const scoreCounts = (
    { timesMs, target, others, priorShare }: Comparison,
): { readonly recent: number; readonly whole: number; readonly otherShare: number; } => {
    const last = timesMs.length - 1;
    const otherShare = shareOf(at(others.bad, last), at(others.sent, last), priorShare);
    if (at(target.bad, last) === 0) {
        return { recent: 0, whole: -Math.LN2 * at(target.sent, last), otherShare };
    }
    // With a share p of bad answers expected and (1 + p) / 2 suspected, a bad answer weighs ln((1 + p) / p) more than a
    // good one, and each request weighs -ln 2.
    let weight = 0;
    const weights = timesMs.map((_atMs, index) => {
        const share = shareOf(
            between(others.bad, index - 1, index),
            between(others.sent, index - 1, index),
            otherShare,
        );
        weight += between(target.bad, index - 1, index) * Math.log((1 + share) / share);
        return weight;
    });
    const delays = timesMs.map((_atMs, index) => index).filter(index =>
        at(timesMs, last) - at(timesMs, last - index) <= ANSWER_DELAY_MS
    );
    const burstFrom = (start: number): number => {
        const later = timesMs.findIndex((atMs, index) => index > start + 1 && atMs - at(timesMs, start) > BURST_MS);
        const end = later === -1 ? last : later - 1;
        const part = Math.min(1, BURST_MS / Math.max(1, between(timesMs, start, end)));
        return part * (between(weights, start, end) - Math.LN2 * between(target.sent, start, end));
    };
    const scoreFrom = (from: number): number => {
        const requests = Math.max(
            between(target.answers, from, last),
            ...delays.map(delay => between(target.sent, from - delay, last - delay)),
        );
        return between(weights, from, last) - Math.LN2 * requests;
    };
    let worstBurst = 0;
    const recent = timesMs.map((_atMs, index) => last - 1 - index).slice(0, -1).map(from => {
        worstBurst = Math.max(worstBurst, burstFrom(from));
        return scoreFrom(from) - worstBurst;
    });
    return { recent: Math.max(0, ...recent), whole: scoreFrom(0), otherShare };
};
