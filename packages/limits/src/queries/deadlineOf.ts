/** Returns the time by which a request must be answered: the service's timeout, or the caller's where it is shorter. */
export const deadlineOf = (timeoutMs: number, requestedTimeoutMs: number | undefined, nowMs: number): number =>
    nowMs + Math.max(0, Math.min(timeoutMs, requestedTimeoutMs ?? timeoutMs));
