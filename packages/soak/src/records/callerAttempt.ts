import type { RequestKind } from "./requestKind";

/** A request that a caller sent, with what came back. Times are monotonic milliseconds of the soak's process. */
export interface CallerAttempt {
    readonly requestId: string;
    readonly hostName: string;
    /** Start of the host's process that took the request. */
    readonly hostStart: number;
    readonly routeName: string;
    readonly kind: RequestKind;
    readonly accountId: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Undefined when the connection ended before a head came. */
    readonly status: number | undefined;
    readonly signature: string | undefined;
    /** Id that the answer names. */
    readonly answeredId: string | undefined;
    readonly body: string;
    /** Whether the answer ended as complete. */
    readonly isComplete: boolean;
    /** Whether the caller broke off. */
    readonly hasLeft: boolean;
}
