import type { ErrorCode } from "./errorCode";

/** A typed failure, carried in `Result` values instead of being thrown. */
export interface Failure {
    readonly code: ErrorCode;
    /** Text for people; never contains prompts, keys or tokens. */
    readonly message: string;
    /** Time after which the same request may succeed. */
    readonly retryAfterMs?: number;
    /** Fields for programs, such as the current version in a conflict. */
    readonly details?: Readonly<Record<string, unknown>>;
}
