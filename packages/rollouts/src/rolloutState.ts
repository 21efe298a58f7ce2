import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { RolloutOrderId } from "./rolloutOrderId";
import type { RolloutPhase } from "./rolloutPhase";
import type { VersionEvidence } from "./versionEvidence";

/** State of a rollout, which the duty holder writes as JSON and all hosts follow. All times are cluster times. */
export interface RolloutState {
    readonly orderId: RolloutOrderId;
    readonly service: ServiceName;
    readonly target: SoftwareVersion;
    readonly phase: RolloutPhase;
    /** Time at which the order was first seen. */
    readonly startedAtMs: number;
    /** Start of the phase; that of `canary` is the time at which the target first had an upstream. */
    readonly phaseSinceMs: number;
    readonly deadlineMs: number;
    /** Largest share of the new requests, in [0, 1], that a host may send to the target. */
    readonly share: number;
    /** Cause of the phase, for operators. */
    readonly reason: string;
    /** Versions that receive no new request: targets of earlier orders, and after a roll-back the target of this one. */
    readonly excluded: readonly SoftwareVersion[];
    /** Counters at the order; an earlier order may have had the same target. */
    readonly evidenceAtStart: readonly VersionEvidence[];
}
