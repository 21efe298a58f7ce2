/** Intervals, timeouts, counts and size limits of the protocol. */
export interface MembershipTiming {
    /** Interval of the timer that drives the state machine. */
    readonly tickIntervalMs: number;
    /** Interval between two probe rounds. */
    readonly probeIntervalMs: number;
    readonly directProbeTimeoutMs: number;
    readonly indirectProbeTimeoutMs: number;
    /** Time within which a suspected member can refute before it is declared dead. */
    readonly suspicionTimeoutMs: number;
    /** Time for which dead members stay in the member table. */
    readonly deadRetentionMs: number;
    /** Timer delay above which this process is considered to have been paused. */
    readonly pauseThresholdMs: number;
    /** Time without any response after which this process may suspect members without confirmation by helpers. */
    readonly isolationThresholdMs: number;
    /** Interval between attempts to reach dead members or seeds; `probeIntervalMs` while no member is reachable. */
    readonly rejoinIntervalMs: number;
    /** Minimum interval between syncs of differing tables, randomized by a factor from 0.5 to 1.5. */
    readonly syncIntervalMs: number;
    /** Minimum interval between extra probe rounds, which send urgent updates ahead of the regular round. */
    readonly urgentIntervalMs: number;
    /** Time without changes after which tables that still differ are synced. */
    readonly settleDelayMs: number;
    /** Time for which notices are kept after their observation or deadline, whichever is later; not for refusals. */
    readonly noticeRetentionMs: number;
    /** Members probed in each round because they follow this process on a ring; also the number of rings. */
    readonly ringTargetCount: number;
    /** Members probed in each round that are selected at random. */
    readonly randomTargetCount: number;
    /** Members probed in each extra round, selected at random. */
    readonly urgentTargetCount: number;
    /** Members asked to probe a target that did not respond. */
    readonly helperCount: number;
    /** Size limit of the queued updates in one message, including usage reports. */
    readonly gossipBudgetBytes: number;
    /** Size limit of the usage reports in one message. */
    readonly usageBudgetBytes: number;
    /** Number of messages in which each process forwards a usage report. */
    readonly maximumUsageSends: number;
}
