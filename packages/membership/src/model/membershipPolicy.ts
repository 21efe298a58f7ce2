import type { MembershipTiming } from "./membershipTiming";
import type { SuspicionEvidence } from "./suspicionEvidence";

/** Timing and decision rules of the protocol. */
export interface MembershipPolicy {
    readonly timing: MembershipTiming;
    /** Returns how long this process was paused, given the delay of its timer; 0 if it was not paused. */
    readonly pauseMs: (delayMs: number, timing: MembershipTiming) => number;
    /** Returns whether the evidence after an unanswered probe justifies a suspicion. */
    readonly justifiesSuspicion: (evidence: SuspicionEvidence, timing: MembershipTiming) => boolean;
    /** Returns the incarnation with which this process refutes a suspicion of itself. */
    readonly refutingIncarnation: (suspectedIncarnation: number) => number;
}
