/** Whether requests of a route may be retried or resumed. */
export type RequestKind = "repeatable" | "once" | "stream" | "resumable-stream";
