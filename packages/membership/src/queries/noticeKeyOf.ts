import type { UpstreamNotice } from "../model/upstreamNotice";

/** Returns the key shared by all notices about the same state change of an upstream. */
export const noticeKeyOf = (notice: UpstreamNotice): string => `${notice.upstreamId} ${notice.kind}`;
