import type { ErrorCode } from "./errorCode";

/** Body of an error answer, `application/problem+json` (RFC 9457) with the typed code. */
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
