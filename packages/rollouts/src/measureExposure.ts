import type { EvidenceSeries } from "./evidenceSeries";
import type { Exposure } from "./exposure";
import { reportAgeMs } from "./reportAgeMs";
import type { RolloutBounds } from "./rolloutBounds";
import type { RolloutState } from "./rolloutState";
import type { VersionEvidence } from "./versionEvidence";

/** Part of the slack that is spent on purpose; the rest covers retries and hosts that spend their credit together. */
const SLACK_PART = 0.8;

/** Least time over which the rate is averaged. */
const MINIMUM_RATE_MS = 500;

const sumSent = (rows: readonly VersionEvidence[]): number => rows.reduce((sum, { sent }) => sum + sent, 0);

/**
 * Measures the exposure of a target since its order. The rate is the larger of the average and the latest one, and is
 * overestimated at first, since reports of all hosts cover the time until `reportAgeMs` ago only.
 */
export const measureExposure = (
    { target, startedAtMs, evidenceAtStart }: RolloutState,
    evidence: EvidenceSeries,
    { exposeShare, exposeSlack }: RolloutBounds,
    nowMs: number,
): Exposure => {
    const rows = evidence.at(-1)?.rows ?? evidenceAtStart;
    const isTarget = ({ version }: VersionEvidence): boolean => version === target;
    const all = Math.max(0, sumSent(rows) - sumSent(evidenceAtStart));
    const received = Math.max(0, sumSent(rows.filter(isTarget)) - sumSent(evidenceAtStart.filter(isTarget)));
    const averagePerMs = all / Math.max(MINIMUM_RATE_MS, nowMs - startedAtMs - reportAgeMs);
    const earlier = evidence.findLast(({ atMs }) => atMs <= nowMs - reportAgeMs);
    const latestPerMs = earlier === undefined ? 0 : (sumSent(rows) - sumSent(earlier.rows)) / (nowMs - earlier.atMs);
    return {
        left: exposeShare * all + SLACK_PART * exposeSlack - received,
        ratePerMs: Math.max(averagePerMs, latestPerMs),
        received,
    };
};
