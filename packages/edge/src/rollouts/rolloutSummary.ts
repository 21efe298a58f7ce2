import type { RolloutPhase, VersionEvidence } from "@ibislanding/rollouts";

/** What a host tells operators of a rollout; fields without a value are not known to the host. */
export interface RolloutSummary {
    readonly service: string;
    readonly target: string | undefined;
    readonly orderId: string | undefined;
    readonly phase: RolloutPhase | undefined;
    /** Cause of the phase. */
    readonly reason: string | undefined;
    /** Share of the new requests that this host sends to the target now. */
    readonly share: number | undefined;
    /** Unix times. */
    readonly startedAtMs: number | undefined;
    readonly phaseSinceMs: number | undefined;
    readonly deadlineMs: number | undefined;
    /** Requests that run at other versions than the target. */
    readonly runningElsewhere: number;
    readonly versions: readonly Omit<VersionEvidence, "service">[];
}
