import type { ErrorCode } from "./errorCode";

/** Body of an error response: `application/problem+json` (RFC 9457) extended by the error code. */
export interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly code: ErrorCode;
    readonly detail: string;
    readonly requestId?: string;
    readonly retryAfterMs?: number;
    readonly details?: Readonly<Record<string, unknown>>;
}
