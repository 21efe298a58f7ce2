/** An answer of the gateway's own. 429 and 503 promise that the request has not run. */
export interface Refusal {
    readonly status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;
    readonly reason: string;
    readonly retryAfterMs?: number;
}
