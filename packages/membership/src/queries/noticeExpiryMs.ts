import type { MembershipTiming } from "../model/membershipTiming";
import type { UpstreamNotice } from "../model/upstreamNotice";

/** A refusal says little about the time after it. */
const REFUSAL_RETENTION_MS = 30_000;

/** Returns the wall-clock time at which a notice is dropped. */
export const noticeExpiryMs = (notice: UpstreamNotice, timing: MembershipTiming): number =>
    notice.kind === "refusing"
        ? notice.observedAtMs + REFUSAL_RETENTION_MS
        : Math.max(notice.observedAtMs, notice.deadlineMs ?? 0) + timing.noticeRetentionMs;
