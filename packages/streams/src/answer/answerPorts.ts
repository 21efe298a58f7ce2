import type { Clock, Failure, RandomSource, UpstreamId } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { SelectedUpstream } from "./selectedUpstream";

/** What an answer stream needs from the entry host. */
export interface AnswerPorts {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Chooses an upstream; `recovery` is set once an upstream had taken the request. */
    readonly select: (excluded: ReadonlySet<UpstreamId>, isResume: boolean) => Result<SelectedUpstream, Failure>;
    /** Returns the upstream of an earlier attempt, when it is still known. */
    readonly find: (upstreamId: UpstreamId) => SelectedUpstream | undefined;
    /** Runs the callback when streams of the upstream must move because it leaves; returns the end of the watch. */
    readonly watchLeaving: (upstreamId: UpstreamId, leadMs: number, onDue: () => void) => () => void;
    /** Called before another attempt; fails when the retry budget is spent. */
    readonly permitRetry: () => Result<void, Failure>;
    /** Called before an attempt that needs no permission because the upstream leaves. */
    readonly recordMove: () => void;
}
