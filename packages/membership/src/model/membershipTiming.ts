/** Times, counts and sizes of the protocol. */
export interface MembershipTiming {
    /** Interval of the state machine's timer. */
    readonly tickIntervalMs: number;
    /** Interval between two rounds of probes. */
    readonly probeIntervalMs: number;
    readonly directProbeTimeoutMs: number;
    readonly indirectProbeTimeoutMs: number;
    /** Time in which a suspected member can refute. */
    readonly suspicionTimeoutMs: number;
    /** Time for which dead members are remembered. */
    readonly deadRetentionMs: number;
    /** Delay of the timer that counts as a pause of this process. */
    readonly pauseThresholdMs: number;
    /** Time without any answer after which this process may suspect members without a witness. */
    readonly isolationThresholdMs: number;
    /** Interval between two attempts to reach members or seeds out of contact. */
    readonly rejoinIntervalMs: number;
    /** Least interval between two comparisons of the whole tables. */
    readonly syncIntervalMs: number;
    /** Least interval between two rounds outside of the period, for new notices. */
    readonly urgentIntervalMs: number;
    /** Time without change after which tables that still differ are compared. */
    readonly settleDelayMs: number;
    /** Time for which notices without a deadline are kept, and those with one after it. */
    readonly noticeRetentionMs: number;
    /** Members probed each period because they follow this process on a ring. */
    readonly ringTargetCount: number;
    /** Members probed each period at random. */
    readonly randomTargetCount: number;
    /** Members that get new notices outside of the period. */
    readonly urgentTargetCount: number;
    /** Members asked to probe one that did not answer. */
    readonly helperCount: number;
    /** Updates in one message. */
    readonly gossipBudgetBytes: number;
    /** Usage reports in one message. */
    readonly usageBudgetBytes: number;
    /** Messages in which each process passes on a usage report. */
    readonly maximumUsageSends: number;
}
