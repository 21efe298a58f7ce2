/** State of an upstream that is announced before the host list reflects it. */
export type UpstreamNoticeKind = "leaving" | "gone" | "refusing";
