import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementDecision } from "../placement/placementDecision";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { ANY_VERSION } from "../versions/anyVersion";
import type { VersionRule } from "../versions/versionRule";
import type { ForwardContext } from "./forwardContext";
import { toPlacementRequest } from "./toPlacementRequest";

const UNRESTRICTED: readonly VersionRule[] = [ANY_VERSION];

/** `Retry-After` of a stream that must not go on at its version: it can be requested anew at once. */
const ROLLED_BACK_RETRY_MS = 100;

const ROLLED_BACK: PlacementDecision = {
    kind: "refuse",
    reason: "version-rolled-back",
    retryAfterMs: ROLLED_BACK_RETRY_MS,
};

/**
 * Selects the upstream for the next attempt by the first of the rules on versions under which one has room; one upstream
 * may be excluded in addition to those of earlier attempts.
 */
export const placeRequest = (context: ForwardContext, additionallyExcluded?: UpstreamRecord): PlacementDecision => {
    const { options, admitted, softwareVersion, progress } = context;
    const { service } = admitted;
    const isFirst = progress.attempts === 0;
    const [first, ...others] = options.versions?.rulesFor(service, { softwareVersion, isFirst }) ?? UNRESTRICTED;
    if (first === undefined) {
        return ROLLED_BACK;
    }
    const request = toPlacementRequest(context, false, first, additionallyExcluded);
    const candidates = options.upstreams.candidates(service, request);
    return others.reduce<PlacementDecision>(
        (decision, versionRule) =>
            decision.kind === "send" ? decision : chooseUpstream(candidates, { ...request, versionRule }),
        chooseUpstream(candidates, request),
    );
};
