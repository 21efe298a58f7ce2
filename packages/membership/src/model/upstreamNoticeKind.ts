/** What is known of an upstream ahead of the host list. */
export type UpstreamNoticeKind = "leaving" | "gone" | "refusing";
