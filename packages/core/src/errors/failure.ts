import type { ErrorCode } from "./errorCode";

/** A typed failure, returned in a `Result` instead of being thrown. */
export interface Failure {
    readonly code: ErrorCode;
    /** Human-readable text; never contains prompts, keys or tokens. */
    readonly message: string;
    /** Delay after which a retry of the same request may succeed. */
    readonly retryAfterMs?: number;
    /** Machine-readable details, such as the current version on a conflict. */
    readonly details?: Readonly<Record<string, unknown>>;
}
