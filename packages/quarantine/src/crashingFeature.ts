import type { FeatureId } from "./featureId";

/** A feature to which crashes are attributed, with the evidence. */
export interface CrashingFeature {
    readonly featureId: FeatureId;
    /** Crashes at different times since the last answer on the feature that went on; those of one wave count once. */
    readonly crashes: number;
    readonly firstCrashAtMs: number;
    /** Whether an answer on the feature has ever gone on. */
    readonly wasCleared: boolean;
}
