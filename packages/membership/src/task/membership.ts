import type { Revision } from "@ibislanding/core";
import type { ProbeRequest, ProbeResponse, SyncRequest, SyncResponse } from "@ibislanding/protocol";
import type { Member } from "../model/member";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UsageReport } from "../model/usageReport";
import type { MembershipCounters } from "./membershipCounters";
import type { MembershipDump } from "./membershipDump";

/** The group of the system's processes as this one knows it; a hint, never a lock. */
export interface Membership extends AsyncDisposable {
    /** All known members with this process itself, also suspected, leaving and recently dead ones. */
    readonly members: () => readonly Member[];
    /** Members that are alive or only suspected, with this process itself; optionally of one role. */
    readonly liveMembers: (role?: string) => readonly Member[];
    /** Tells all members about an upstream. */
    readonly publishNotice: (notice: Omit<UpstreamNotice, "reportedBy">) => void;
    readonly notices: () => readonly UpstreamNotice[];
    /** Offers this process's newest usage report; it is passed on as often as the byte budget allows. */
    readonly publishUsages: (report: UsageReport) => void;
    /** Newest known reports of the other members. */
    readonly usages: () => readonly UsageReport[];
    /** Current interval between two passed-on usage reports of a member. */
    readonly usageIntervalMs: () => number;
    /** Reports the revision that is in force at this process. */
    readonly setConfigurationRevision: (revision: Revision) => void;
    /** Calls the listener after members or notices changed; returns a function that ends this. */
    readonly subscribe: (listener: () => void) => () => void;
    /** Announces that this process is leaving; resolves when the announcement had time to spread. */
    readonly leave: () => Promise<void>;
    readonly handleProbe: (request: ProbeRequest) => Promise<ProbeResponse>;
    readonly handleSync: (request: SyncRequest) => Promise<SyncResponse>;
    readonly counters: () => MembershipCounters;
    readonly stateDump: () => MembershipDump;
}
