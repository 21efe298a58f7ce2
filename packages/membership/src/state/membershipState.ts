import type { HostId } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UsageReport } from "../model/usageReport";
import type { MemberRecord } from "./memberRecord";
import type { Probe } from "./probe";
import type { UpdateQueue } from "./updateQueue";

/** State of the protocol in one process; modified only by `handleEvent`. */
export interface MembershipState {
    readonly self: MemberRecord;
    /** All known members, including this process and dead members. */
    readonly members: Map<HostId, MemberRecord>;
    readonly notices: Map<string, UpstreamNotice>;
    readonly usages: Map<HostId, UsageReport>;
    readonly queue: UpdateQueue;
    readonly probes: Map<number, Probe>;
    seeds: readonly PeerAddress[];
    /** Incremented with every change that subscribers are notified of. */
    version: number;
    changedAtMs: number;
    /** Cached hash of the member table; undefined after a change. */
    digest: number | undefined;
    nextProbeId: number;
    lastTickAtMs: number;
    nextProbeRoundAtMs: number;
    nextRejoinAtMs: number;
    nextSyncAtMs: number;
    nextUrgentSendAtMs: number;
    /** Queued updates are to be sent ahead of the next regular probe round. */
    hasUrgentUpdates: boolean;
    lastResponseAtMs: number;
    usagePublishedAtMs: number | undefined;
    /** Estimate of how slow this process itself is; 0 when it is healthy. */
    slowness: number;
}
