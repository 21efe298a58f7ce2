import type { SoftwareVersion } from "@ibislanding/core";
import { countEvidence } from "./countEvidence";
import type { EvidenceSeries } from "./evidenceSeries";
import { scoreCounts } from "./scoreCounts";
import type { Suspicion } from "./suspicion";
import type { VersionEvidence } from "./versionEvidence";

const REASONS = ["failures", "slow"] as const;

/** Fewer bad answers are no evidence: each may have a cause of its own. */
const MINIMUM_BAD_ANSWERS = 3;

/** Bad share that is assumed of the other versions before any of their answers are known. */
const UNKNOWN_BAD_SHARE = 0.02;

/** Scores a version against the others of its service, over all routes and on each route; strongest evidence first. */
export const suspectVersion = (target: SoftwareVersion, series: EvidenceSeries): readonly Suspicion[] => {
    const timesMs = series.map(({ atMs }) => atMs);
    const routes = [...new Set(series.at(-1)?.rows.map(({ route }) => route))];
    const score = (
        reason: Suspicion["reason"],
        accepts: (row: VersionEvidence) => boolean,
        priorShare: number,
    ): ReturnType<typeof scoreCounts> => {
        const counts = countEvidence(series, row => accepts(row) && row.version === target, reason);
        const others = countEvidence(series, row => accepts(row) && row.version !== target, reason);
        const scores = scoreCounts({ timesMs, target: counts, others, priorShare });
        const isEvidence = (counts.bad.at(-1) ?? 0) >= MINIMUM_BAD_ANSWERS;
        return isEvidence ? scores : { ...scores, recent: 0, whole: Math.min(0, scores.whole) };
    };
    return REASONS.flatMap(reason => {
        const { otherShare, ...overall } = score(reason, () => true, UNKNOWN_BAD_SHARE);
        const byRoute = routes.length < 2 ? [] : routes.map(route => {
            const { recent, whole } = score(reason, row => row.route === route, otherShare);
            return { reason, route, recent, whole };
        });
        return [{ reason, route: undefined, ...overall }, ...byRoute];
    }).sort((left, right) => right.recent - left.recent);
};
