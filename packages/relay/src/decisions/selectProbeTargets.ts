import type { UpstreamId } from "@ibislanding/core";
import type { ProbeTarget } from "./probeTarget";

/**
 * Maximum probes of a check. With fewer, the crash of some upstreams at once could pass for a cut, as the registry lists
 * crashed ones for some seconds.
 */
const MAXIMUM_PROBES = 8;

/**
 * Selects the upstreams to probe: in turn from each zone, and in each zone and turn those first whose last failure is longest
 * ago. The first one is probed alone.
 *
 * Handles crashes of many upstreams, and the loss of a zone, in which the other upstreams show that the host is not cut off.
 */
export const selectProbeTargets = (
    targets: readonly ProbeTarget[],
    lastFailureAtMs: (upstreamId: UpstreamId) => number,
): readonly ProbeTarget[] => {
    type Ranked = { readonly target: ProbeTarget; readonly failedAtMs: number; };
    const byFailure = (left: Ranked, right: Ranked): number =>
        left.failedAtMs < right.failedAtMs ? -1 : Number(left.failedAtMs > right.failedAtMs);
    const zones = [...new Set(targets.map(({ availabilityZone }) => availabilityZone))];
    const ranked = zones.flatMap(zone =>
        targets
            .filter(({ availabilityZone }) => availabilityZone === zone)
            .map(target => ({ target, failedAtMs: lastFailureAtMs(target.upstreamId) }))
            .sort(byFailure)
            .map((ranked, rank) => ({ ...ranked, rank }))
    );
    return ranked
        .sort((left, right) => left.rank - right.rank || byFailure(left, right))
        .slice(0, MAXIMUM_PROBES)
        .map(({ target }) => target);
};
