import type { FeatureKind } from "./featureKind";

/** How many crashes blame a feature; each number depends on what else is known of it. */
interface FeatureRules {
    /**
     * Crashes after which it is quarantined. A feature on which answers have gone on before crashes upstreams only if
     * something has changed, and is far more often a victim.
     */
    readonly toQuarantine: { readonly neverCleared: number; readonly cleared: number; };
    /** The same for a feature that was quarantined before, and on which no answer has gone on since. */
    readonly toRelapse: { readonly confirmed: number; readonly unconfirmed: number; };
    /** Crashes before that of a request under the feature after which it is not sent to another upstream. */
    readonly toStopRepeats: { readonly neverCleared: number; readonly cleared: number; };
    /**
     * Crashes that are needed in addition if answers are counted whose head had not arrived: whatever waits at an upstream is
     * lost in its crash.
     */
    readonly extraIfUnbegun: number;
    /**
     * Whether it explains its crashes while it is quarantined, also for a feature that was in more crashes. The
     * client of a victim sends it again, so that it may have been in the first crashes of the culprit.
     */
    readonly explainsOthers: "always" | "if-not-outnumbered";
    /**
     * How a quarantine that is not confirmed is tried after a time: it ends at all hosts, or one host lets one request
     * pass. The allowance for repeats of one request is too small for all hosts to send it.
     */
    readonly trial: "all-hosts" | "one-request";
    /** Time after which it is tried, although requests with the feature come. */
    readonly trialAfterMs: number;
    /** Different requests under which the crashes must have come. */
    readonly minimumRequests: number;
}

/**
 * Rules by kind. Five crashes under a part are allowed over all hosts, and three under a request; the difference covers
 * crashes that come while the evidence spreads, and evidence that is lost with a host.
 */
export const featureRules: Readonly<Record<FeatureKind, FeatureRules>> = {
    part: {
        toQuarantine: { neverCleared: 3, cleared: 4 },
        toRelapse: { confirmed: 1, unconfirmed: 2 },
        toStopRepeats: { neverCleared: 1, cleared: 2 },
        extraIfUnbegun: 1,
        trial: "all-hosts",
        trialAfterMs: 10_000,
        explainsOthers: "always",
        // Otherwise the request is the more specific explanation.
        minimumRequests: 2,
    },
    request: {
        toQuarantine: { neverCleared: 3, cleared: 4 },
        toRelapse: { confirmed: 1, unconfirmed: 2 },
        toStopRepeats: { neverCleared: 1, cleared: 2 },
        extraIfUnbegun: 0,
        trial: "one-request",
        // Upstreams that crashed are back by then, and few attempts of a sound request are refused.
        trialAfterMs: 3_000,
        explainsOthers: "if-not-outnumbered",
        minimumRequests: 1,
    },
};
