import type { UpstreamNotice } from "../model/upstreamNotice";

/** Returns the key under which notices about the same fact are kept. */
export const noticeKeyOf = (notice: UpstreamNotice): string => `${notice.upstreamId} ${notice.kind}`;
