/** Retry semantics of a route: `once` requests run at most once, and so do streams that cannot be resumed. */
export type RouteKind = "repeatable" | "once" | "stream";
