/** Returns the deadline of a request: `nowMs` plus the shorter of the service's and the caller's timeout. */
export const deadlineOf = (timeoutMs: number, requestedTimeoutMs: number | undefined, nowMs: number): number =>
    nowMs + Math.max(0, Math.min(timeoutMs, requestedTimeoutMs ?? timeoutMs));
