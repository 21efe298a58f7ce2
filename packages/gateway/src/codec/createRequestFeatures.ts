import { createFeatureId, type FeatureId, parseFeatureId, type Quarantine } from "@ibislanding/quarantine";
import { fingerprintRequest } from "./fingerprintRequest";
import { fingerprintScope } from "./fingerprintScope";
import type { RequestFeatures } from "./requestFeatures";
import type { RequestIdentity } from "./requestIdentity";

/** Determines the features of a request whose body has been received. */
export const createRequestFeatures = (
    identity: RequestIdentity,
    sharedPartIds: readonly string[],
    quarantine: Pick<Quarantine, "watchesRequests">,
): RequestFeatures => {
    const parts = sharedPartIds.map(partId => createFeatureId("part", partId));
    let known: FeatureId | undefined;
    let knownScope: string | undefined;

    const request = (): FeatureId => {
        known ??= createFeatureId("request", fingerprintRequest(identity));
        return known;
    };

    const scope = (): string => {
        knownScope ??= fingerprintScope(identity);
        return knownScope;
    };

    return {
        parts,
        request,
        // The scope is a hash, too, which is needed only while any request is watched.
        watched: () =>
            quarantine.watchesRequests("") && quarantine.watchesRequests(scope()) ? [...parts, request()] : parts,
        all: () => [...parts, request()],
        mayBe: other => parseFeatureId(other)?.value.startsWith(scope()) === true,
        bodyBytes: identity.body.length,
    };
};
