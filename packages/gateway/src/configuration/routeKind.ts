/** What may be repeated on a route: `once` requests run at most once, and so do streams that can't be resumed. */
export type RouteKind = "repeatable" | "once" | "stream";
