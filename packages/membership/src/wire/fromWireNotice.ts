import type { HostId, UpstreamId } from "@ibislanding/core";
import type { UpstreamNotice as WireUpstreamNotice } from "@ibislanding/protocol";
import type { UpstreamNotice } from "../model/upstreamNotice";
import type { UpstreamNoticeKind } from "../model/upstreamNoticeKind";

const kinds: readonly UpstreamNoticeKind[] = ["leaving", "gone", "refusing"];

/** Converts a received notice; returns undefined if this version does not know its kind. */
export const fromWireNotice = (notice: WireUpstreamNotice): UpstreamNotice | undefined => {
    const kind = kinds.find(known => known === notice.kind);
    return kind === undefined ? undefined : {
        upstreamId: notice.upstreamId as UpstreamId,
        kind,
        observedAtMs: notice.observedAtMs,
        reportedBy: notice.reportedBy as HostId,
        deadlineMs: notice.deadlineMs,
    };
};
