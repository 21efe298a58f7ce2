/** Liveness of a member as this process sees it. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";
