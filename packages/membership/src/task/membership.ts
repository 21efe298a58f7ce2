import type { Revision } from "@ibislanding/core";
import type { ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import type { Member } from "../model/member";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UsageReport } from "../model/usageReport";
import type { MembershipCounters } from "./membershipCounters";
import type { MembershipDump } from "./membershipDump";

/** The group of processes, as known to this one. The view may be outdated; it must not be used as a lock. */
export interface Membership extends AsyncDisposable {
    /** All known members, including this process and suspect, leaving and recently dead members. */
    readonly members: () => readonly Member[];
    /** Members that are alive or suspect, including this process; optionally of one role. */
    readonly liveMembers: (role?: string) => readonly Member[];
    /** Publishes a state change of an upstream to all members. */
    readonly publishNotice: (notice: Omit<UpstreamNotice, "reportedBy">) => void;
    readonly notices: () => readonly UpstreamNotice[];
    /** Offers the latest usage report of this process; reports are sent only as often as the byte budget allows. */
    readonly publishUsages: (report: UsageReport) => void;
    /** Latest known reports of the other members. */
    readonly usages: () => readonly UsageReport[];
    /** Current interval between two usage reports that a member sends. */
    readonly usageIntervalMs: () => number;
    /** Reports the configuration revision in force in this process. */
    readonly setConfigurationRevision: (revision: Revision) => void;
    /** Calls the listener after members or notices changed; returns a function that removes it. */
    readonly subscribe: (listener: () => void) => () => void;
    /** Announces that this process is leaving; resolves after the time in which the announcement spreads. */
    readonly leave: () => Promise<void>;
    readonly handleProbe: (request: ProbeRequest) => Promise<ProbeResponse>;
    readonly handleSync: (request: SyncRequest) => Promise<SyncResponse>;
    readonly counters: () => MembershipCounters;
    readonly stateDump: () => MembershipDump;
}
