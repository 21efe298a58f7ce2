import type { CrashCause } from "./crashCause";
import type { RequestKind } from "./requestKind";
import type { StreamPosition } from "./streamPosition";

/** A request that a caller sent and its answer. Times are monotonic milliseconds of the soak test's process. */
export interface CallerAttempt {
    readonly requestId: string;
    readonly hostName: string;
    /** Number of starts of the host process at the time of sending; distinguishes restarts. */
    readonly hostStart: number;
    readonly routeName: string;
    readonly kind: RequestKind;
    readonly accountId: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** Set if the request takes up a stream. */
    readonly takenUp: StreamPosition | undefined;
    /** Set if the request crashes upstreams; it is not expected to be served. */
    readonly crashCause: CrashCause | undefined;
    /** Undefined when the connection ended before the response head arrived. */
    readonly status: number | undefined;
    /** Id of the upstream that signed the answer; undefined if none did. */
    readonly signature: string | undefined;
    /** Request id that the answer carries. */
    readonly answeredId: string | undefined;
    readonly body: string;
    /** Whether the whole response was received. */
    readonly isComplete: boolean;
    /** Whether the caller cancelled the request. */
    readonly hasLeft: boolean;
}
