import type { FeatureId } from "@ibislanding/quarantine";

/** What a request has in common with others that may crash upstreams. */
export interface RequestFeatures {
    /** Parts of the prompt that other requests may share, in their order. */
    readonly parts: readonly FeatureId[];
    /** The request itself, the same for all attempts; computed at the first call. */
    readonly request: () => FeatureId;
    /** Hashes the body only if a request of the same account and address is watched. */
    readonly watched: () => readonly FeatureId[];
    readonly all: () => readonly FeatureId[];
    /** Whether the request is one of the same account and address as another one. */
    readonly mayBe: (request: FeatureId) => boolean;
    readonly bodyBytes: number;
}
