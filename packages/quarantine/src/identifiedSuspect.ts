import type { CrashSuspect } from "./crashSuspect";
import type { FeatureId } from "./featureId";

/** A suspect and the request that it is an attempt of. */
export interface IdentifiedSuspect extends CrashSuspect {
    /** The request, the same over all its attempts; undefined if it is not known. */
    readonly requestId: FeatureId | undefined;
}
