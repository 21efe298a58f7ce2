import type { Refusal } from "./refusal";

/** `Retry-After` of a stopping process; another process accepts the next connection. */
const STOPPING_RETRY_MS = 20;

/** Refusal of a request that has not run, by a process that stops. */
export const stoppingRefusal: Refusal = { status: 503, reason: "stopping", retryAfterMs: STOPPING_RETRY_MS };
