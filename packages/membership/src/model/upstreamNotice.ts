import type { HostId, UpstreamId } from "@ibislanding/core";
import type { UpstreamNoticeKind } from "./upstreamNoticeKind";

/** A fact about an upstream that spreads faster than the host list does. */
export interface UpstreamNotice {
    readonly upstreamId: UpstreamId;
    readonly kind: UpstreamNoticeKind;
    /** Wall-clock time of the observation. */
    readonly observedAtMs: number;
    readonly reportedBy: HostId;
    /** Wall-clock time by which a leaving upstream is gone, when known. */
    readonly deadlineMs?: number;
}
