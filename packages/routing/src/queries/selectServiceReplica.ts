import type { Failure, RandomSource, UpstreamId } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { choosePowerOfTwo } from "../policies/choosePowerOfTwo";
import type { RoutingState } from "../state/routingState";
import type { UpstreamState } from "../state/upstreamState";
import { createOverloadedFailure } from "./createOverloadedFailure";
import { listEligibleUpstreams } from "./listEligibleUpstreams";
import type { ServiceRequest } from "./serviceRequest";

/** Number of this host's calls in flight at which a replica is no longer preferred for its proximity. */
const LOCAL_IN_FLIGHT_LIMIT = 16;

const isBelowLimit = ({ inFlight }: UpstreamState): boolean => inFlight.size < LOCAL_IN_FLIGHT_LIMIT;

/**
 * Selects a replica of a plain service by the power of two choices on this host's calls in flight. Replicas below the
 * in-flight limit are preferred, first those in the same availability zone, then those in the same region; if there are
 * none, all replicas are considered.
 */
export const selectServiceReplica = (
    state: RoutingState,
    request: ServiceRequest,
    nowMs: number,
    random: RandomSource,
): Result<UpstreamId, Failure> => {
    const replicas = listEligibleUpstreams(state, request.service, request.excluded, () => true, nowMs);
    if (replicas.length === 0) {
        return Err(createOverloadedFailure(state.options, state.options.minimumRetryAfterMs, random));
    }
    const inRegion = replicas.filter(({ description }) => description.region === request.region);
    const inZone = inRegion.filter(({ description }) => description.availabilityZone === request.availabilityZone);
    const nearest = [inZone, inRegion].map(group => group.filter(isBelowLimit)).find(group => group.length > 0);
    const chosen = choosePowerOfTwo(nearest ?? replicas, ({ inFlight }) => inFlight.size, random);
    return Ok(chosen.description.upstreamId);
};
