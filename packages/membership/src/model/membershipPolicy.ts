import type { MembershipTiming } from "./membershipTiming";
import type { SuspicionEvidence } from "./suspicionEvidence";

/** Choices of the protocol. */
export interface MembershipPolicy {
    readonly timing: MembershipTiming;
    /** Returns for how long this process was paused, given how late its timer is. */
    readonly pauseMs: (delayMs: number, timing: MembershipTiming) => number;
    /** Tells whether an unanswered probe justifies a suspicion. */
    readonly justifiesSuspicion: (evidence: SuspicionEvidence, timing: MembershipTiming) => boolean;
    /** Returns the incarnation with which this process answers a suspicion of itself. */
    readonly refutingIncarnation: (suspectedIncarnation: number) => number;
}
