import type { CrashSuspect } from "./crashSuspect";
import type { FeatureId } from "./featureId";
import type { QuarantinedFeature } from "./quarantinedFeature";

/** Callbacks for logging and metrics; `isOwn` is false for what another host reported. */
export interface QuarantineEvents {
    readonly onAccused: (suspect: CrashSuspect, isOwn: boolean) => void;
    /** An answer on a suspected feature has gone on. */
    readonly onCleared: (featureId: FeatureId, beganAtMs: number, isOwn: boolean) => void;
    readonly onQuarantined: (feature: QuarantinedFeature, isOwn: boolean) => void;
    /** One request with the feature passes for a trial. */
    readonly onTried: (feature: QuarantinedFeature) => void;
    readonly onEnded: (
        feature: QuarantinedFeature,
        reason: "cleared" | "quiet" | "trial" | "operator" | "reported",
    ) => void;
}
