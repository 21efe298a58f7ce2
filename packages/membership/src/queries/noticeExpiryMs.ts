import type { MembershipTiming } from "../model/membershipTiming";
import type { UpstreamNotice } from "../model/upstreamNotice";

/** Refusals are kept only briefly, because they say little about the later state of the upstream. */
const REFUSAL_RETENTION_MS = 30_000;

/** Returns the wall-clock time at which a notice expires. */
export const noticeExpiryMs = (notice: UpstreamNotice, timing: MembershipTiming): number =>
    notice.kind === "refusing"
        ? notice.observedAtMs + REFUSAL_RETENTION_MS
        : Math.max(notice.observedAtMs, notice.deadlineMs ?? 0) + timing.noticeRetentionMs;
