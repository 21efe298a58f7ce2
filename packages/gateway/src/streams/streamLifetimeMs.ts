/** Time after which no client takes up a stream any more; longer than the deadlines of requests. */
export const STREAM_LIFETIME_MS = 60_000;
