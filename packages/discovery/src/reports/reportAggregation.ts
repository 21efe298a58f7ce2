import type { HostId } from "@ibislanding/core";

/**
 * Sums of reports. In a large group, each host tells one collector what is new since its last contribution; collectors
 * exchange their summaries and return them to their members.
 */
export interface ReportAggregation<Report> {
    /** This host's state, with its counters reduced by what collectors have acknowledged. */
    readonly nextContribution: () => Report;
    /** Records that a collector has added a contribution of this host to its summary. */
    readonly acknowledge: (contribution: Report, collectorId: HostId) => void;
    /** Adds a member's contribution to this host's summary. */
    readonly collect: (contribution: Report) => void;
    /** Sum of the contributions that this host has collected. */
    readonly summarize: () => Report;
    /** Returns a collector's summary without this host's own contributions. */
    readonly withoutOwn: (summary: Report) => Report;
}
