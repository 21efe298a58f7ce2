import type { Member } from "../model/member";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { MembershipCounters } from "./membershipCounters";

/** State of a membership for diagnosis, limited in size. */
export interface MembershipDump {
    readonly self: Member;
    readonly memberCounts: Readonly<Record<string, number>>;
    /** Suspect, leaving and dead members come before alive ones. */
    readonly members: readonly Member[];
    readonly notices: readonly UpstreamNotice[];
    readonly queuedUpdates: number;
    readonly probesInFlight: number;
    readonly slowness: number;
    /** Time since this process last received a response from any member. */
    readonly sinceAnswerMs: number;
    readonly usageIntervalMs: number;
    readonly counters: MembershipCounters;
}
