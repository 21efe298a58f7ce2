import type { Clock, Failure, RandomSource, UpstreamId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { SelectedUpstream } from "./selectedUpstream";

/** Dependencies of an answer stream, implemented by the entry host. */
export interface AnswerPorts {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Selects an upstream; `isResume` is set once an upstream has accepted the request or if the caller resumes. */
    readonly select: (excluded: ReadonlySet<UpstreamId>, isResume: boolean) => Result<SelectedUpstream, Failure>;
    /** Returns the upstream of an earlier attempt if it is still known. */
    readonly find: (upstreamId: UpstreamId) => SelectedUpstream | undefined;
    /**
     * Calls `onDue` `leadMs` before the upstream leaves, when its streams must move; may call it more than once.
     * Returns the function that cancels.
     */
    readonly watchLeaving: (upstreamId: UpstreamId, leadMs: number, onDue: () => void) => () => void;
    /** Called before a retry of a request that was not accepted yet; fails when the retry budget is exhausted. */
    readonly permitRetry: () => Result<void, Failure>;
    /** Called before an attempt that needs no retry budget because the previous upstream is leaving. */
    readonly recordMove: () => void;
}
