import type { GateRequest } from "@ibislanding/rollouts";
import { chooseUpstream } from "../placement/chooseUpstream";
import type { PlacementDecision } from "../placement/placementDecision";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import { ANY_VERSION } from "../versions/anyVersion";
import { createFallbackRule } from "../versions/createFallbackRule";
import { admitByLevel } from "./admitByLevel";
import type { ForwardContext } from "./forwardContext";
import { toPlacementRequest } from "./toPlacementRequest";

/** `Retry-After` of a request above the admission level: demand and level change within about a second. */
const ABOVE_LEVEL_RETRY_MS = 600;

const toGateRequest = ({ admitted, softwareVersion, progress }: ForwardContext): GateRequest => {
    const { service } = admitted;
    return softwareVersion === undefined
        ? { kind: progress.attempts === 0 ? "first" : "retry", service }
        : { kind: "resume", service, version: softwareVersion };
};

/**
 * Selects the upstream for the next attempt; one upstream may be excluded in addition to those of earlier attempts. A
 * request that finds no place at the target of a rollout goes to another version.
 */
export const placeRequest = (context: ForwardContext, additionallyExcluded?: UpstreamRecord): PlacementDecision => {
    const { options, admitted } = context;
    if (!admitByLevel(context)) {
        return { kind: "refuse", reason: "above-level", retryAfterMs: ABOVE_LEVEL_RETRY_MS };
    }
    // The rule of an attempt is kept until it is sent: asking for it charges the send.
    context.versionRule ??= options.versions?.ruleFor(toGateRequest(context)) ?? ANY_VERSION;
    const request = toPlacementRequest(context, false, context.versionRule, additionallyExcluded);
    const candidates = options.upstreams.candidates(admitted.service, request);
    const fraction = options.upstreams.areLoadsOld() ? options.random.nextFloat() : undefined;
    const decision = chooseUpstream(candidates, request, fraction);
    const fallback = createFallbackRule(context.versionRule);
    return decision.kind === "send" || fallback === undefined
        ? decision
        : chooseUpstream(candidates, { ...request, versionRule: fallback }, fraction);
};
