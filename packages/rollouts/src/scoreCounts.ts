import type { VersionCounts } from "./versionCounts";
import type { VersionScore } from "./versionScore";

/** Parameters of the comparison of a target with the other versions. */
interface Comparison {
    /** Cluster times of the snapshots. */
    readonly timesMs: readonly number[];
    readonly target: VersionCounts;
    readonly others: VersionCounts;
    /** Bad share of the other versions that is assumed in each interval before their answers are counted. */
    readonly priorShares: readonly number[];
    /** Whether intervals in which the other versions receive next to nothing are left out. */
    readonly requiresOthers: boolean;
}

/** Requests to the other versions, in relation to those to the target, from which an interval allows a comparison. */
const MINIMUM_OTHERS_PART = 0.02;

/** Answers that the prior share counts for: an interval with fewer answers of the other versions leans on it. */
const PRIOR_WEIGHT = 5;

/** With fewer answers of the other versions, an interval takes those of its neighbours into account. */
const ENOUGH_ANSWERS = 10;

/** Intervals on each side that are taken into account, a second in all. */
const NEIGHBOURS = 2;

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

/** Bad shares of the other versions in each interval, which ends at the snapshot of the same index. */
const expectShares = ({ timesMs, others, priorShares }: Comparison): readonly number[] => {
    const last = timesMs.length - 1;
    return timesMs.map((_atMs, index) => {
        const widths = Array.from({ length: NEIGHBOURS + 1 }, (_unused, width) => ({
            from: Math.max(0, index - 1 - width),
            to: Math.min(last, index + width),
        }));
        const { from, to } = widths.find(width => between(others.sent, width.from, width.to) >= ENOUGH_ANSWERS)
            ?? widths[NEIGHBOURS] ?? { from: index - 1, to: index };
        const priorShare = at(priorShares, index);
        // Few answers of the other versions may all be good by chance.
        return Math.max(
            shareOf(at(others.bad, last), at(others.sent, last), priorShare),
            shareOf(between(others.bad, from, to), between(others.sent, from, to), priorShare),
        );
    });
};

/**
 * Scores a target against the other versions by logarithmic likelihood ratios, see `Suspicion`. Compares the hypothesis that
 * half of the sound answers turn bad with the hypothesis that the bad share is that of the other versions in each interval.
 *
 * Handles a share that changes while all upstreams have trouble: the expected bad share is taken from the same interval.
 * The number of requests is that of any earlier period of the same length, if larger, since late bad answers belong to it.
 */
export const scoreCounts = (comparison: Comparison): VersionScore => {
    const { timesMs, target, others, requiresOthers } = comparison;
    const last = timesMs.length - 1;
    const otherShares = expectShares(comparison);
    if (at(target.bad, last) === 0) {
        return { recent: 0, lasting: 0, whole: -Math.LN2 * at(target.sent, last), otherShares };
    }
    // With a share p of bad answers expected and (1 + p) / 2 suspected, a bad answer weighs ln((1 + p) / p) more than a
    // good one, and each request weighs -ln 2.
    let weight = 0;
    const weights = timesMs.map((_atMs, index) => {
        const sentToOthers = between(others.sent, index - 1, index);
        const isComparable = !requiresOthers
            || sentToOthers >= MINIMUM_OTHERS_PART * between(target.sent, index - 1, index);
        const share = isComparable ? at(otherShares, index) : MAXIMUM_BAD_SHARE;
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
    const starts = timesMs.map((_atMs, index) => last - 1 - index).slice(0, -1);
    let worstBurst = 0;
    const lasting = starts.map(from => {
        worstBurst = Math.max(worstBurst, burstFrom(from));
        return scoreFrom(from) - worstBurst;
    });
    return {
        recent: Math.max(0, ...starts.map(scoreFrom)),
        lasting: Math.max(0, ...lasting),
        whole: scoreFrom(0),
        otherShares,
    };
};
