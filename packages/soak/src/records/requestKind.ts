/** What may be done with a request of a route. */
export type RequestKind = "repeatable" | "once" | "stream" | "resumable-stream";
