import { type FeatureId, type FeatureKind, parseFeatureId, type Quarantine } from "@ibislanding/quarantine";
import type { Refusal } from "./refusal";
import type { RequestProgress } from "./requestProgress";

const REASONS: Readonly<Record<FeatureKind, string>> = {
    part: "prompt_part_quarantined",
    request: "request_quarantined",
};

const DETAILS: Readonly<Record<FeatureKind, string>> = {
    part: "Upstreams crashed under requests with one of the parts of this prompt. This attempt was not run.",
    request: "Upstreams crashed under earlier attempts of this request, which may have taken effect. "
        + "This attempt was not run, and it is of no use to repeat it.",
};

/**
 * Returns the refusal of a request that has a quarantined feature. Its `Retry-After` is the time until the quarantine may
 * end, which is beyond the deadlines of requests: repeating the request is of no use.
 */
export const findQuarantinedFeature = (
    quarantine: Quarantine,
    featureIds: readonly FeatureId[],
    progress: RequestProgress,
): (Refusal & { readonly status: 503; readonly retryAfterMs: number; }) | undefined => {
    const feature = quarantine.refuse(featureIds);
    const kind = feature === undefined ? undefined : parseFeatureId(feature.featureId)?.kind;
    if (feature === undefined || kind === undefined) {
        return undefined;
    }
    progress.quarantinedFeature = feature.featureId;
    return {
        status: 503,
        reason: REASONS[kind],
        detail: DETAILS[kind],
        retryAfterMs: quarantine.remainingMs(feature),
    };
};
