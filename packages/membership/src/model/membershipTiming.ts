/** Times, counts and sizes of the protocol. */
export interface MembershipTiming {
    /** Interval of the state machine's timer. */
    readonly tickMs: number;
    /** Interval between two rounds of probes. */
    readonly periodMs: number;
    readonly directTimeoutMs: number;
    readonly indirectTimeoutMs: number;
    /** Time in which a suspected member can refute. */
    readonly suspicionMs: number;
    /** Time for which dead members are remembered. */
    readonly forgetDeadMs: number;
    /** Delay of the timer that counts as a pause of this process. */
    readonly pauseThresholdMs: number;
    /** Time without any answer after which this process may suspect members without a witness. */
    readonly isolationMs: number;
    /** Interval between two attempts to reach members or seeds out of contact. */
    readonly rejoinMs: number;
    /** Least interval between two comparisons of the whole tables. */
    readonly syncMs: number;
    /** Least interval between two rounds outside of the period, for new notices. */
    readonly urgentMs: number;
    /** Time without change after which tables that still differ are compared. */
    readonly settleMs: number;
    /** Time for which notices without a deadline are kept, and those with one after it. */
    readonly keepNoticeMs: number;
    /** Members probed each period because they follow this process on a ring. */
    readonly ringTargets: number;
    /** Members probed each period at random. */
    readonly randomTargets: number;
    /** Members that get new notices outside of the period. */
    readonly urgentTargets: number;
    /** Members asked to probe one that did not answer. */
    readonly helpers: number;
    /** Updates in one message. */
    readonly messageBytes: number;
    /** Usage reports in one message. */
    readonly usageBytes: number;
    /** Messages in which each process passes on a usage report. */
    readonly usageSends: number;
}
