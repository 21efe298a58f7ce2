import type { SoftwareVersion } from "@ibislanding/core";
import { countEvidence } from "./countEvidence";
import type { EvidenceSeries } from "./evidenceSeries";
import { scoreCounts } from "./scoreCounts";
import type { Suspicion } from "./suspicion";
import type { VersionEvidence } from "./versionEvidence";
import type { VersionScore } from "./versionScore";

const REASONS = ["failures", "slow"] as const;

/**
 * After the promotion, failed requests are tried again at other versions, which shows whether all versions fail. Nothing
 * shows whether all are slow.
 */
const requiresOthers = { failures: false, slow: true };

/** Fewer bad answers are no evidence: each may have a cause of its own. */
const MINIMUM_BAD_ANSWERS = 3;

/** Bad share that is assumed of the other versions before any of their answers are known. */
const UNKNOWN_BAD_SHARE = 0.02;

/** Answers that this assumption counts for. */
const UNKNOWN_WEIGHT = 10;

/** Scores a version against the others of its service, over all routes and on each route; strongest evidence first. */
export const suspectVersion = (target: SoftwareVersion, series: EvidenceSeries): readonly Suspicion[] => {
    const timesMs = series.map(({ atMs }) => atMs);
    const routes = [...new Set(series.at(-1)?.rows.map(({ route }) => route))];
    // Each of many routes may look bad by chance.
    const selection = Math.log(Math.max(1, routes.length));
    const score = (
        reason: Suspicion["reason"],
        accepts: (row: VersionEvidence) => boolean,
        priorShares: readonly number[],
    ): VersionScore => {
        const counts = countEvidence(series, row => accepts(row) && row.version === target, reason);
        const others = countEvidence(series, row => accepts(row) && row.version !== target, reason);
        const scores = scoreCounts({
            timesMs,
            target: counts,
            others,
            priorShares,
            requiresOthers: requiresOthers[reason],
        });
        const isEvidence = (counts.bad.at(-1) ?? 0) >= MINIMUM_BAD_ANSWERS;
        return isEvidence ? scores : { ...scores, recent: 0, lasting: 0, whole: Math.min(0, scores.whole) };
    };
    const otherShareOf = (reason: Suspicion["reason"]): number => {
        const { sent, bad } = countEvidence(series, row => row.version !== target, reason);
        return ((bad.at(-1) ?? 0) + UNKNOWN_WEIGHT * UNKNOWN_BAD_SHARE) / ((sent.at(-1) ?? 0) + UNKNOWN_WEIGHT);
    };
    return REASONS.flatMap(reason => {
        const priorShare = otherShareOf(reason);
        const { otherShares, ...overall } = score(reason, () => true, timesMs.map(() => priorShare));
        const byRoute = routes.length < 2 ? [] : routes.map(route => {
            const { recent, lasting, whole } = score(reason, row => row.route === route, otherShares);
            return {
                reason,
                route,
                recent: recent - selection,
                lasting: lasting - selection,
                whole: whole - selection,
            };
        });
        return [{ reason, route: undefined, ...overall }, ...byRoute];
    }).sort((left, right) => right.lasting - left.lasting);
};
