import type { FeatureId } from "./featureId";
import type { FeatureKind } from "./featureKind";

/** Joins the kind of a feature and its value: the id of a prompt part, or the fingerprint of a request. */
export const createFeatureId = (kind: FeatureKind, value: string): FeatureId => `${kind}:${value}` as FeatureId;
