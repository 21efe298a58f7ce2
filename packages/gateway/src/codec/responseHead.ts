import type { RequestId } from "@ibislanding/core";

/** What the gateway reads of an upstream's answer. */
export interface ResponseHead {
    readonly status: number;
    /** Id of the request that is answered, as echoed. */
    readonly requestId: RequestId | undefined;
    /** Whether the answer bears the upstream's signature. */
    readonly isSigned: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the upstream at this address is another one. */
    readonly isMisdirected: boolean;
    readonly hasContentEncoding: boolean;
    /** Time for which the upstream keeps the idle connection; undefined when it doesn't say. */
    readonly keepAliveMs: number | undefined;
}
