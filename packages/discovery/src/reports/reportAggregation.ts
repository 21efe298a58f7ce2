import type { HostId } from "@ibislanding/core";

/**
 * Sums of reports. In a large group, each host contributes to one collector at a time; collectors exchange their
 * summaries and return them to their members. Each increment of a counter is assigned to one collector, and contributions
 * to it are cumulative, so that a contribution whose response was lost can be sent again.
 */
export interface ReportAggregation<Report> {
    /** Assigns what is new to the collector at an address; returns this host's state with all that is assigned to it. */
    readonly nextContribution: (address: string) => Report;
    /** Records that the collector has added the last contribution to its summary. */
    readonly acknowledge: (address: string, collectorId: HostId) => void;
    /** Takes the last contribution back; the collector can't have received it. */
    readonly withdraw: (address: string) => void;
    /** Adds a member's contribution to this host's summary. */
    readonly collect: (contribution: Report) => void;
    /** Sum of the contributions that this host has collected. */
    readonly summarize: () => Report;
    /** Returns a collector's summary without this host's own contributions. */
    readonly withoutOwn: (summary: Report) => Report;
}
