/** Liveness of a member, as observed by this process. */
export type MemberState = "alive" | "suspect" | "leaving" | "dead";
