import type { FeatureId } from "./featureId";

/**
 * A feature that is or was quarantined. Times are of the clock that the hosts share; the entries of two hosts are
 * merged by the later of each.
 */
export interface QuarantinedFeature {
    readonly featureId: FeatureId;
    /** Start of the quarantine, or of the last trial of a request. */
    readonly sinceMs: number;
    /** Last end of the quarantine; -Infinity before the first. The feature is quarantined while this is before `sinceMs`. */
    readonly endedAtMs: number;
    /** Last time at which a request with the feature was refused. */
    readonly refusedAtMs: number;
    /** First of the crashes that led to the quarantine. */
    readonly firstCrashAtMs: number;
    readonly crashes: number;
    /**
     * Whether the feature crashed upstreams again after a trial, or is a part on which no answer has ever gone on. Otherwise
     * there is a trial after a short time.
     */
    readonly isConfirmed: boolean;
}
