import type { FeatureId } from "@ibislanding/quarantine";
import type { RequestFeatures } from "../codec/requestFeatures";

/** Requests that this host has answered completely a short time ago. */
export interface RecentAnswers {
    readonly record: (features: RequestFeatures, beganAtMs: number) => void;
    /** Returns when the last answer to a request began; undefined if it is not known. */
    readonly lastAnsweredAtMs: (featureId: FeatureId) => number | undefined;
}
