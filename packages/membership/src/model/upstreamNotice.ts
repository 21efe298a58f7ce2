import type { HostId, UpstreamId } from "@ibislanding/core";
import type { UpstreamNoticeKind } from "./upstreamNoticeKind";

/** State change of an upstream; spreads by gossip faster than through the host list. */
export interface UpstreamNotice {
    readonly upstreamId: UpstreamId;
    readonly kind: UpstreamNoticeKind;
    /** Wall-clock time of the observation. */
    readonly observedAtMs: number;
    readonly reportedBy: HostId;
    /** Wall-clock time by which a leaving upstream terminates, if known. */
    readonly deadlineMs?: number;
}
