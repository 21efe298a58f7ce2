import type { CrashSuspect } from "./crashSuspect";
import type { FeatureId } from "./featureId";
import type { QuarantinedFeature } from "./quarantinedFeature";
import type { QuarantineRows } from "./quarantineRows";

/** Features of requests under which upstreams crash, as known to one host from its own requests and from other hosts. */
export interface Quarantine {
    /** Returns the quarantined one among the features of a request, if any, and records that the request is refused. */
    readonly refuse: (featureIds: readonly FeatureId[]) => QuarantinedFeature | undefined;
    /** Whether a request is suspected or quarantined whose fingerprint begins with the given text. */
    readonly watchesRequests: (fingerprintStart: string) => boolean;
    /** Time until the quarantine of a feature ends if no further request with it comes. */
    readonly remainingMs: (feature: QuarantinedFeature) => number;
    /** Whether a request under which an upstream has crashed may be sent to another one. */
    readonly mayRepeat: (featureIds: readonly FeatureId[]) => boolean;
    /** Records a request whose upstream crashed. */
    readonly accuse: (suspect: CrashSuspect) => void;
    /** Records that an answer that began at the given time has gone on. */
    readonly clear: (featureIds: readonly FeatureId[], beganAtMs: number) => void;
    /** What the other hosts need to know. */
    readonly rows: () => QuarantineRows;
    /** Adds what another host knows. */
    readonly observe: (rows: QuarantineRows) => void;
    /** Features that are quarantined now. */
    readonly features: () => readonly QuarantinedFeature[];
    /** Requests with a feature that were lost in crashes, as far as the evidence is still kept. */
    readonly suspectsOf: (featureId: FeatureId) => readonly CrashSuspect[];
    /** Ends a quarantine at all hosts, as an operator asked for; returns whether there was one. */
    readonly release: (featureId: FeatureId) => boolean;
}
