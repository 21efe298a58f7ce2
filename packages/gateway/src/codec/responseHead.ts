import type { RequestId } from "@ibislanding/core";

/** Fields that the gateway reads from the head of an upstream's response. */
export interface ResponseHead {
    readonly status: number;
    /** Id of the request, as echoed by the upstream. */
    readonly requestId: RequestId | undefined;
    /** Whether the response carries the upstream's signature. */
    readonly isSigned: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
    /** Whether the upstream at this address is not the one to which the request was addressed. */
    readonly isMisdirected: boolean;
    readonly hasContentEncoding: boolean;
    /** Time for which the upstream keeps the idle connection open; undefined if not stated. */
    readonly keepAliveMs: number | undefined;
    /** Whether the upstream states that it is leaving. */
    readonly isLeaving: boolean;
    /** Time for which the upstream wants no requests from this host; undefined if not stated. */
    readonly pauseMs: number | undefined;
    /**
     * Requests a second that the upstream takes from all hosts together: undefined if the response states no limit, NaN
     * if it states one that can't be read.
     */
    readonly limitPerS: number | undefined;
    /**
     * Rejections a second, for lack of capacity, above which the upstream crashes; undefined if the response states none. An
     * unreadable number is read as 1, the safe value.
     */
    readonly brittleRejectionsPerS: number | undefined;
    /** Headers with invalid values, as `name: value`. */
    readonly invalidHeaders: readonly string[];
}
