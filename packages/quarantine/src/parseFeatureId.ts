import type { FeatureId } from "./featureId";
import type { FeatureKind } from "./featureKind";

const KINDS: readonly FeatureKind[] = ["part", "request"];

/** Splits an id; returns undefined if its kind is unknown, as in the report of a host of another version. */
export const parseFeatureId = (
    featureId: FeatureId,
): { readonly kind: FeatureKind; readonly value: string; } | undefined => {
    const end = featureId.indexOf(":");
    const kind = KINDS.find(known => known === featureId.slice(0, end));
    return kind === undefined ? undefined : { kind, value: featureId.slice(end + 1) };
};
