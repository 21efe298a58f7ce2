import type { HostId } from "@ibislanding/core";
import type { PeerAddress } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UsageReport } from "../model/usageReport";
import type { MemberRecord } from "./memberRecord";
import type { Probe } from "./probe";
import type { UpdateQueue } from "./updateQueue";

/** All that one process knows; changed only by `handleEvent`. */
export interface MembershipState {
    readonly self: MemberRecord;
    /** Every known member, also the process itself and the dead. */
    readonly members: Map<HostId, MemberRecord>;
    readonly notices: Map<string, UpstreamNotice>;
    readonly usages: Map<HostId, UsageReport>;
    readonly queue: UpdateQueue;
    readonly probes: Map<number, Probe>;
    seeds: readonly PeerAddress[];
    /** Raised with every change that subscribers are told of. */
    version: number;
    changedAtMs: number;
    /** Hash of the member table; undefined after a change. */
    digest: number | undefined;
    nextProbeId: number;
    lastTickAtMs: number;
    nextProbeRoundAtMs: number;
    nextRejoinAtMs: number;
    nextSyncAtMs: number;
    nextUrgentSendAtMs: number;
    /** New notices wait to be sent outside of the period. */
    hasUrgentUpdates: boolean;
    lastResponseAtMs: number;
    usagePublishedAtMs: number | undefined;
    /** 0 when this process works well; grows with signs that it is slow itself. */
    slowness: number;
}
